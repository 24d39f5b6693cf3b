// Package result defines leverstile's numbered result codes. The table in
// docs/RESULT_CODES.md is generated from it; a test compares the two.
package result

import (
	"fmt"
	"time"
)

// Code is a numbered result. The thousands digit is its family: 0 success,
// 1 not run, 2 outcome unknown, 3 ran and failed, 4 refused input.
type Code uint32

// Families of codes.
const (
	FamilyOK      = 0
	FamilyNotRun  = 1
	FamilyUnknown = 2
	FamilyFailed  = 3
	FamilyInput   = 4
)

// Result codes. Numbers are never reused.
const (
	OK Code = 0

	NoEndpoint       Code = 1001
	QueueFull        Code = 1002
	DeadlineTooShort Code = 1003
	EntryDraining    Code = 1004
	EndpointRefused  Code = 1005
	EndpointDown     Code = 1006
	StoreUnavailable Code = 1007
	OwnerUnavailable Code = 1008
	ClaimInProgress  Code = 1009
	RetriesExhausted Code = 1010
	QuotaExceeded    Code = 1011
	FitsNoVM         Code = 1012
	TaskCancelled    Code = 1013
	NoRoomInTime     Code = 1014

	AnswerLost        Code = 2001
	AttemptTimeout    Code = 2002
	ClaimUnknown      Code = 2003
	CommitUnknown     Code = 2004
	WorkerLostNoRep   Code = 2005
	CallerWentAway    Code = 2006
	AnswerBodyNotKept Code = 2007

	TaskFailed        Code = 3001
	AttemptsExhausted Code = 3002
	AnswerCut         Code = 3003

	BadRequest       Code = 4001
	UnknownService   Code = 4002
	BodyTooLarge     Code = 4003
	UnknownTask      Code = 4004
	BadSelector      Code = 4005
	TaskIDConflict   Code = 4006
	KeyReused        Code = 4007
	RevisionConflict Code = 4008
	BadDeclarations  Code = 4009
	BadSettings      Code = 4010
	NotFound         Code = 4011
	MethodNotAllowed Code = 4012
	UnknownGroup     Code = 4013
	NoDeclarations   Code = 4014
	PromiseBroken    Code = 4015
)

// Ran reports whether the work that a code refers to was run.
type Ran string

// Values of Ran.
const (
	RanYes   Ran = "yes"
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
)

// Info describes a code: its row in docs/RESULT_CODES.md.
type Info struct {
	Code       Code
	Name       string
	Meaning    string
	Ran        Ran
	Repeatable string // when the caller may repeat
	HTTPStatus int
	ExitCode   int
}

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitInternal = 1
	ExitUsage    = 2
	ExitNotRun   = 3
	ExitUnknown  = 4
	ExitFailed   = 5
	ExitInput    = 6
	ExitConflict = 7
)

// Values of Info.Repeatable.
const (
	repeatAfterDelay      = "yes, after the told delay"
	repeatWithKey         = "only if the work is idempotent or has its Idempotency-Key"
	repeatAfterCorrection = "after correction"
	repeatNever           = "no"
)

// Table lists every code in ascending order.
var Table = []Info{
	{OK, "ok", "done", RanYes, repeatNever, 200, ExitOK},
	{NoEndpoint, "no-endpoint", "no endpoint of the service can take requests now", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{QueueFull, "queue-full", "the bounded queue of the caller's group or class is full", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{DeadlineTooShort, "deadline-too-short", "the request's deadline can't be met, or passed while it waited", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{EntryDraining, "entry-draining", "this entry is stopping; another one takes the request", RanNo, "yes, at once", 503, ExitNotRun},
	{EndpointRefused, "endpoint-refused", "the endpoint refused the request before it began", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{EndpointDown, "endpoint-down", "no connection to the endpoint; nothing was sent", RanNo, repeatAfterDelay, 502, ExitNotRun},
	{StoreUnavailable, "store-unavailable", "the platform's key-value service does not answer, so nothing could be recorded or claimed", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{OwnerUnavailable, "owner-unavailable", "no entry owns the cell or claim shard at the moment, or it can't be reached", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{ClaimInProgress, "claim-in-progress", "an earlier request with this Idempotency-Key has not ended yet; this one was not run", RanNo, "yes, with the same key", 409, ExitNotRun},
	{RetriesExhausted, "retries-exhausted", "each attempt was refused before it began, and the retry budget is spent", RanNo, repeatAfterDelay, 503, ExitNotRun},
	{QuotaExceeded, "quota-exceeded", "the task asks for more than its group's quota", RanNo, repeatAfterCorrection, 403, ExitNotRun},
	{FitsNoVM, "fits-no-vm", "no VM of the cell is large enough or matches the selector", RanNo, repeatAfterCorrection, 200, ExitNotRun},
	{TaskCancelled, "task-cancelled", "the task was cancelled", RanMaybe, repeatNever, 200, ExitNotRun},
	{NoRoomInTime, "no-room-in-time", "the cell expects no room for the job in time; it was not recorded", RanNo, repeatAfterDelay, 429, ExitNotRun},
	{AnswerLost, "answer-lost", "the request was sent and the connection ended before an answer", RanMaybe, repeatWithKey, 502, ExitUnknown},
	{AttemptTimeout, "attempt-timeout", "the request was sent and no answer came in time", RanMaybe, repeatWithKey, 504, ExitUnknown},
	{ClaimUnknown, "claim-unknown", "the first request with this key was sent and its outcome is unknown; it is never run again", RanMaybe, repeatNever, 409, ExitUnknown},
	{CommitUnknown, "commit-unknown", "the commit's outcome is unknown; repeat the submission with the same id", RanMaybe, "yes, with the same id", 504, ExitUnknown},
	{WorkerLostNoRep, "worker-lost", "the worker was lost while it may have run a task marked as not repeatable", RanMaybe, repeatNever, 200, ExitUnknown},
	{CallerWentAway, "caller-went-away", "the caller closed the connection before the answer", RanMaybe, repeatWithKey, 499, ExitUnknown},
	{AnswerBodyNotKept, "answer-body-not-kept", "the first request with this key has run; its answer was too large to keep", RanYes, repeatNever, 200, ExitOK},
	{TaskFailed, "task-failed", "the task ran and failed", RanYes, "if the task is idempotent", 200, ExitFailed},
	{AttemptsExhausted, "attempts-exhausted", "the task failed or lost its worker on each allowed attempt", RanYes, "if the task is idempotent", 200, ExitFailed},
	{AnswerCut, "answer-cut", "the endpoint's answer ended early; the connection to the caller is cut so that this is seen", RanYes, repeatWithKey, 502, ExitFailed},
	{BadRequest, "bad-request", "the request is malformed", RanNo, repeatAfterCorrection, 400, ExitInput},
	{UnknownService, "unknown-service", "no such service is declared", RanNo, repeatAfterCorrection, 404, ExitInput},
	{BodyTooLarge, "body-too-large", "the body is over the limit", RanNo, repeatAfterCorrection, 413, ExitInput},
	{UnknownTask, "unknown-task", "no such task", RanNo, repeatAfterCorrection, 404, ExitInput},
	{BadSelector, "bad-selector", "the label selector can't be parsed", RanNo, repeatAfterCorrection, 400, ExitInput},
	{TaskIDConflict, "task-id-conflict", "a task with this id and another specification exists", RanNo, repeatAfterCorrection, 409, ExitInput},
	{KeyReused, "key-reused", "the Idempotency-Key was used for a different request", RanNo, repeatAfterCorrection, 422, ExitInput},
	{RevisionConflict, "revision-conflict", "the declarations have changed since the revision that this change is based on", RanNo, repeatAfterCorrection, 412, ExitConflict},
	{BadDeclarations, "bad-declarations", "the declarations have mistakes; nothing was accepted", RanNo, repeatAfterCorrection, 422, ExitInput},
	{BadSettings, "bad-settings", "the settings have mistakes; the process does not start", RanNo, repeatAfterCorrection, 422, ExitInput},
	{NotFound, "not-found", "no such path", RanNo, repeatAfterCorrection, 404, ExitInput},
	{MethodNotAllowed, "method-not-allowed", "the path does not take this method", RanNo, repeatAfterCorrection, 405, ExitInput},
	{UnknownGroup, "unknown-group", "no selector binds the work to a declared group", RanNo, repeatAfterCorrection, 422, ExitInput},
	{NoDeclarations, "no-declarations", "nothing has been declared yet", RanNo, "after the first apply", 503, ExitInput},
	{PromiseBroken, "promise-broken", "the demo or load run saw a broken promise", RanMaybe, repeatNever, 500, ExitFailed},
}

// Lookup returns the description of a code. An unknown number yields an Info
// whose name is "unlisted".
func Lookup(c Code) Info {
	for _, info := range Table {
		if info.Code == c {
			return info
		}
	}
	return Info{Code: c, Name: "unlisted", Ran: RanMaybe, HTTPStatus: 500, ExitCode: ExitInternal}
}

// Family returns the code's thousands digit.
func (c Code) Family() int { return int(c) / 1000 }

// String returns the number and the name, as "1002 queue-full".
func (c Code) String() string { return fmt.Sprintf("%d %s", uint32(c), Lookup(c).Name) }

// Error is a refusal with its code. RetryAfter is zero if the caller may repeat
// at once or must not repeat at all.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Code.String()
	}
	return e.Code.String() + ": " + e.Detail
}

// New returns an Error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// After sets the delay after which the caller may repeat.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

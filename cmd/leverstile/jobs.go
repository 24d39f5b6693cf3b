package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/api/result"
)

// jobsTimeout bounds a call; it is longer than the 2.2 s for which an entry tries
// a write.
const jobsTimeout = 5 * time.Second

// jobsClient holds the option and connection that all commands on jobs use.
type jobsClient struct {
	Entry string `long:"entry" env:"LEVERSTILE_ENTRY" required:"true" value-name:"ADDR" description:"peer address of an entry, IP:PORT"`
}

func (c *jobsClient) dial() (jobsv1connect.JobsClient, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), jobsTimeout)
	return jobsv1connect.NewJobsClient(http.DefaultClient, "http://"+c.Entry), ctx, cancel
}

// jobsCommand groups the commands on jobs of the users' platform.
type jobsCommand struct {
	Submit  jobSubmit  `command:"submit" description:"Hand in a job from a JSON file; - is standard input"`
	Status  jobStatus  `command:"status" description:"Show a job's state"`
	Cancel  jobCancel  `command:"cancel" description:"Cancel a job"`
	Pending jobPending `command:"pending" description:"Count a queue's jobs that have not begun"`
	Demo    jobDemo    `command:"demo" description:"Show a job's way through two entries and stand-ins of the platform"`
	Explain jobExplain `command:"explain" description:"Say where a job's tasks run and why others wait"`
}

// Execute implements flags.Commander; one of the subcommands is required.
func (c *jobsCommand) Execute([]string) error { return nil }

type jobSubmit struct {
	jobsClient
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobSubmit) Execute([]string) error {
	text, err := readInput(c.Args.File)
	if err != nil {
		return result.New(result.BadRequest, "%v", err)
	}
	client, ctx, cancel := c.dial()
	defer cancel()
	resp, err := client.Submit(ctx, connect.NewRequest(&jobsv1.SubmitRequest{Spec: text}))
	if err != nil {
		return jobsError(err)
	}
	if resp.Msg.GetRecorded() == jobsv1.Recorded_RECORDED_NO_ROOM {
		after := time.Duration(resp.Msg.GetRetryAfterMs()) * time.Millisecond
		return result.New(result.NoRoomInTime, "no room for the job; try again after %v", after)
	}
	return recordedError(resp.Msg.GetRecorded())
}

func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

type jobID struct {
	ID string `positional-arg-name:"ID" required:"true"`
}

type jobStatus struct {
	jobsClient
	Args jobID `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobStatus) Execute([]string) error {
	client, ctx, cancel := c.dial()
	defer cancel()
	resp, err := client.Get(ctx, connect.NewRequest(&jobsv1.GetRequest{Id: c.Args.ID}))
	if err != nil {
		return jobsError(err)
	}
	if !resp.Msg.GetKnown() {
		return result.New(result.UnknownTask, "no job %s", c.Args.ID)
	}
	if reason := resp.Msg.GetReason(); reason != "" {
		fmt.Printf("%s: %s\n", resp.Msg.GetState(), reason)
		return nil
	}
	fmt.Println(resp.Msg.GetState())
	return nil
}

type jobCancel struct {
	jobsClient
	Args jobID `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobCancel) Execute([]string) error {
	client, ctx, cancel := c.dial()
	defer cancel()
	resp, err := client.Cancel(ctx, connect.NewRequest(&jobsv1.CancelRequest{Id: c.Args.ID}))
	if err != nil {
		return jobsError(err)
	}
	return recordedError(resp.Msg.GetRecorded())
}

type jobPending struct {
	jobsClient
	Args struct {
		Queue string `positional-arg-name:"QUEUE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobPending) Execute([]string) error {
	client, ctx, cancel := c.dial()
	defer cancel()
	resp, err := client.Pending(ctx, connect.NewRequest(&jobsv1.PendingRequest{Queue: c.Args.Queue}))
	if err != nil {
		return jobsError(err)
	}
	fmt.Println(resp.Msg.GetPending())
	return nil
}

type jobExplain struct {
	jobsClient
	Args jobID `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobExplain) Execute([]string) error {
	client, ctx, cancel := c.dial()
	defer cancel()
	resp, err := client.Explain(ctx, connect.NewRequest(&jobsv1.ExplainRequest{Id: c.Args.ID}))
	if err != nil {
		return jobsError(err)
	}
	fmt.Println(resp.Msg.GetText())
	return nil
}

// jobsError maps the error of a call to a result code.
func jobsError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return result.New(result.BadRequest, "%v", err)
	case connect.CodeNotFound:
		return result.New(result.UnknownService, "%v", err)
	default:
		return result.New(result.OwnerUnavailable, "%v", err)
	}
}

// recordedError maps whether a write was recorded to a result code.
func recordedError(r jobsv1.Recorded) error {
	switch r {
	case jobsv1.Recorded_RECORDED_YES:
		return nil
	case jobsv1.Recorded_RECORDED_NO:
		return result.New(result.StoreUnavailable, "not recorded; it will not take effect")
	case jobsv1.Recorded_RECORDED_NOT_FOUND:
		return result.New(result.UnknownTask, "no such job")
	default:
		return result.New(result.CommitUnknown, "the store's answer was lost; ask again")
	}
}

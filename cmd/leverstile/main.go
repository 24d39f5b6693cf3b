// Command leverstile runs the entry processes and the stand-ins of the platform,
// and is the command line of operators and callers.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
)

// exitError ends the process with an exit code of docs/RESULT_CODES.md.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default&^flags.PrintErrors)
	parser.Name = "leverstile"
	parser.LongDescription = "Shares VMs between latency-critical services and batch tasks."
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.impl); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(result.ExitInternal)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// command is a subcommand with its help texts.
type command struct {
	name, short, long string
	impl              flags.Commander
}

func commands() []command {
	return []command{
		{"load", "Put load on a service", "Sends requests at a rate that does not wait for answers, and checks that answers match and keys run once.", &loadCommand{}},
		{"serve", "Run an entry process", "Runs an entry process until SIGTERM, which drains it; a second signal ends it at once.", &serveCommand{}},
		{"node", "Run an entry on the users' platform", "Runs an entry that schedules jobs; the platform's settings file is named by the environment. Runs until SIGTERM, which drains it.", &nodeCommand{}},
		{"standin", "Run stand-ins of the platform", "Runs stand-ins of the key-value service, workers, endpoints and VM list in one process.", &standinCommand{}},
		{"demo", "Run the whole path in one process", "Runs three entries against embedded stand-ins through load, eviction, a leaving endpoint and a rolling replacement, and checks the promises.", &demoCommand{}},
		{"check", "Check settings or declarations offline", "Reads files of settings (with --settings) or declarations and prints every mistake with its place.", &checkCommand{}},
		{"jobs", "Work with jobs on the users' platform", "Submits, shows, cancels, counts and explains jobs, at any entry.", &jobsCommand{}},
		{"trace", "Follow a job through logs", "Prints the log lines of a job, and of what happened around it, from the logs of all entries, and what became of its runs.", &traceCommand{}},
		{"losses", "Report where jobs lost time", "Reports for each queue, from the logs of all entries, how its jobs ended and why its slowest jobs lost time.", &lossesCommand{}},
		{"apply", "Apply declarations", "Sends declarations with the revision that they are based on. A lost race is answered with a conflict and the difference.", &applyCommand{}},
		{"diff", "Show what apply would change", "Compares files of declarations with those in force.", &diffCommand{}},
		{"get", "Print the declarations in force", "Prints the declarations in force and their revision.", &getCommand{}},
		{"submit", "Submit tasks", "Submits tasks from a JSON file, one task or a list. Submitting again is safe.", &submitCommand{}},
		{"status", "Show tasks", "Shows a task by id, or all tasks that a selector matches.", &statusCommand{}},
		{"cancel", "Cancel tasks", "Cancels a task by id, or all tasks that a selector matches.", &cancelCommand{}},
		{"explain", "Explain why a task runs or waits", "Shows where a task runs and why, or why it doesn't run.", &explainCommand{}},
		{"drain", "Send nothing new to a VM", "Marks a VM as leaving: its endpoint gets nothing new, its tasks move. --undo takes that back.", &drainCommand{}},
		{"members", "List entries", "Lists the entries with the revision that each runs and the shards that it owns.", &membersCommand{}},
	}
}

// exitCode prints an error and returns the process's exit code.
func exitCode(err error) int {
	var fe *flags.Error
	var ee *exitError
	var re *result.Error
	var problems config.Problems
	switch {
	case err == nil:
		return result.ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
		return result.ExitOK
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, "leverstile:", fe.Message)
		return result.ExitUsage
	case errors.As(err, &problems):
		fmt.Fprintln(os.Stderr, problems.Error())
		return result.ExitInput
	case errors.As(err, &re):
		fmt.Fprintln(os.Stderr, "leverstile:", re.Error())
		return result.Lookup(re.Code).ExitCode
	case errors.As(err, &ee):
		fmt.Fprintln(os.Stderr, "leverstile:", ee.Error())
		return ee.code
	default:
		fmt.Fprintln(os.Stderr, "leverstile:", err)
		return result.ExitInternal
	}
}

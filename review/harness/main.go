// Command harness plays one case of the review: it starts the program of the deploy file on
// loopback addresses, with stand-ins of the store, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is what a case has seen.
type verdict struct {
	broken  bool
	summary []string
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, known := map[string]func(*world, string) (verdict, error){
		"removed-route": removedRoute,
		"timed-jobs":    timedJobs,
		"rolling-crash": rollingCrash,
		"crash-loop":    crashLoop,
	}[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*world, string) (verdict, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitNotRun)
	}()
	v, err := play(w, os.Getenv("TROUBLE"))
	for _, line := range v.summary {
		w.note("%s", line)
		fmt.Println(line)
	}
	w.close()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case len(w.problems) > 0:
		fmt.Println("the case could not run:", w.problems)
		return exitNotRun
	case v.broken:
		fmt.Println("BROKEN")
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}

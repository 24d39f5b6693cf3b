// Command standins plays one case of the review: it starts entries of the project as separate
// processes against stand-ins of the platform, and judges what these have seen.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// environment is what a case runs in.
type environment struct {
	dir, program string
	trouble      bool
	record       *recorder
}

var cases = map[string]func(*environment) (int, error){
	"advice": adviceCase,
	"avail":  availCase,
	"gang":   gangCase,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	program := flag.String("program", "target/leverstile", "the project's program")
	flag.Parse()
	os.Exit(play(*name, *record, *program))
}

func play(name, record, program string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return failed
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer os.RemoveAll(dir)
	defer endEntries()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		endEntries()
		_ = os.RemoveAll(dir)
		os.Exit(failed)
	}()
	result, err := run(&environment{dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", record: rec})
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println(err)
		return failed
	}
	rec.add("result: %d", result)
	return result
}

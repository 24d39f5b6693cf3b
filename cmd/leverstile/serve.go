package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/entry"
	"leverstile.dev/logging"
)

// serveCommand runs an entry process until SIGTERM.
type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of this process, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return result.New(result.BadSettings, "%v", err)
	}
	settings, err := config.ParseSettings(config.File{Name: c.Settings, Text: text})
	if err != nil {
		return err
	}
	callers, peers, err := entry.Listen(settings.Listen.Callers, settings.Listen.Peers)
	if err != nil {
		return err
	}
	set := metrics.NewSet()
	logger, flush := logging.New(os.Stderr, settings.Log.Level, settings.ID, set)
	defer flush()
	stop, abort := stopSignals()
	return entry.New(settings, logger, set, callers, peers).Run(stop, abort)
}

// stopSignals returns channels that the first and the second signal close.
func stopSignals() (stop, abort chan struct{}) {
	stop, abort = make(chan struct{}), make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
		<-signals
		close(abort)
	}()
	return stop, abort
}

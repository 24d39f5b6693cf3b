package main

type demoCommand struct{}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error { return nil }

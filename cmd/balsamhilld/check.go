package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

type checkCommand struct {
	config string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a settings file" }
func (*checkCommand) Usage() string {
	return `balsamhilld check -config FILE

Validates a settings file and prints all problems with their lines. Exits with 0
if the file is valid and with 2 if it is not.

Example:
  balsamhilld check -config examples/signline.jsonc

`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file, JSON with comments")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, status := loadSettings(c.config)
	if status == subcommands.ExitSuccess {
		fmt.Println(c.config + ": ok")
	}
	return status
}

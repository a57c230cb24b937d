// Package operator implements the commands of the operator tool. The tool talks
// to the platform's table service for presets and the audit trail, and to the
// admin addresses of gateways to see what is in force.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/google/subcommands"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/presetstore"
)

// Tool holds what all commands share.
type Tool struct {
	// PlatformURL is read when a command runs, after flags are parsed.
	PlatformURL *string
	Out, Err    io.Writer
}

// callTimeout bounds one conversation with the platform.
const callTimeout = 10 * time.Second

// connect returns a store, or prints why there is none.
func (t *Tool) connect() (*httpplatform.Client, bool) {
	if *t.PlatformURL == "" {
		fmt.Fprintln(t.Err, "balsamhill: -platform URL or BALSAMHILL_PLATFORM is required")
		return nil, false
	}
	return httpplatform.New(*t.PlatformURL), true
}

func (t *Tool) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(t.Err, "balsamhill:", err)
	return subcommands.ExitFailure
}

func (t *Tool) printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(t.Out)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(value)
	if err != nil {
		return t.fail(err)
	}
	return subcommands.ExitSuccess
}

// newAuthor returns who makes a change, with a fresh write ID.
func newAuthor(why string) presetstore.Author {
	name := os.Getenv("BALSAMHILL_OPERATOR")
	if name == "" {
		current, err := user.Current()
		if err == nil {
			name = current.Username
		}
	}
	return presetstore.Author{Operator: name, Why: why, WriteID: rand.Text(), Now: time.Now()}
}

// withStore runs a function with a connection to the platform.
func (t *Tool) withStore(ctx context.Context, f func(context.Context, *presetstore.Store, platform.Platform) subcommands.ExitStatus) subcommands.ExitStatus {
	client, ok := t.connect()
	if !ok {
		return subcommands.ExitUsageError
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx, presetstore.New(client), client)
}

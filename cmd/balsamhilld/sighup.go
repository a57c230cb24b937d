package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// ignoreSIGHUP logs SIGHUP in place of the default action, which ends the process.
// It is for commands that read their settings only at the start. The kernel sends
// SIGHUP to a process that is stopped, even briefly, when its process group becomes
// orphaned.
func ignoreSIGHUP(log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			log.Info("SIGHUP ignored; settings are read at the start only")
		}
	}()
}

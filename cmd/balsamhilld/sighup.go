package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// ignoreSIGHUP keeps SIGHUP from ending the process, for commands that read
// their settings at the start only. The kernel sends it to stopped processes whose
// process group lost its session, also to one that is only paused for a moment.
func ignoreSIGHUP(log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			log.Info("SIGHUP ignored; settings are read at the start only")
		}
	}()
}

package boundedlog

import (
	"io"
	"log/slog"
	"strings"
)

// LibraryOutput returns an output for the loggers of libraries that write free text. Each
// write is a line with the same message and the text, which may contain bytes that a server
// or a caller has chosen, in a field of bounded size.
func LibraryOutput(to *slog.Logger) io.Writer {
	return libraryOutput{to}
}

type libraryOutput struct{ to *slog.Logger }

// Write implements io.Writer.
func (o libraryOutput) Write(text []byte) (int, error) {
	shown := text[:min(len(text), maxLibraryTextBytes)]
	o.to.Warn("library message", "text", strings.TrimSpace(string(shown)), "bytes", len(text))
	return len(text), nil
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run, in order of its writing. Times
// are seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// add writes a line about an event at a time.
func (r *record) add(at time.Time, kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %-8s %s\n", at.Sub(r.began).Seconds(), kind, text)
}

// note writes a line about an event that happens now, also to standard output.
func (r *record) note(kind, text string) {
	now := time.Now()
	r.add(now, kind, text)
	fmt.Printf("%9.4f %-8s %s\n", now.Sub(r.began).Seconds(), kind, text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

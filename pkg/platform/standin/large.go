package standin

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// leastCompressed is the size in bytes from which answers are compressed.
const leastCompressed = 1 << 10

// answerLarge answers with JSON, compressed if that is worth it and the client
// accepts it.
func answerLarge(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeLarge(w, r, data)
}

// answerConditional answers 304 if the client has the value already. The tag is
// weak, because it is the same for both encodings.
func answerConditional(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("W/\"%016x\"", xxhash.Sum64(data))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeLarge(w, r, data)
}

func writeLarge(w http.ResponseWriter, r *http.Request, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Vary", "Accept-Encoding")
	if len(data) < leastCompressed || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	// An error here means that the client has gone away.
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(data)
	_ = compressed.Close()
}

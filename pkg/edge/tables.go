package edge

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/feed"
)

const (
	// maxTableBytes bounds a table that is read from another gateway.
	maxTableBytes = 16 << 20
	tablePath     = "/table/"
)

// peerHandler serves the copies of the tables to other gateways, and /metrics.
func (e *Edge) peerHandler() http.Handler {
	mux := http.NewServeMux()
	for _, w := range e.watchers {
		mux.HandleFunc("GET "+tablePath+string(w.table), func(writer http.ResponseWriter, r *http.Request) {
			text := r.URL.Query().Get("after")
			after, err := strconv.ParseUint(text, 10, 64)
			if err != nil && text != "" {
				http.Error(writer, "after is not a version", http.StatusBadRequest)
				return
			}
			batch, known := w.batchFor(after, text == "")
			if !known {
				http.Error(writer, "the table is not known yet", http.StatusServiceUnavailable)
				return
			}
			// An error here means that the other gateway closed the connection.
			_ = json.NewEncoder(writer).Encode(batch)
		})
	}
	mux.Handle("GET /metrics", e.metricsHandler())
	return mux
}

// peerClient reads tables from other gateways and sends bootstrap requests.
var peerClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
	DisableCompression:  true,
	MaxIdleConnsPerHost: 1,
	IdleConnTimeout:     10 * time.Second,
}}

// fetchTable reads a table, or its changes if query names a version, from another gateway.
func fetchTable(ctx context.Context, address string, table feed.Table, query string) (feed.Batch, error) {
	url := "http://" + address + tablePath + string(table) + query
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return feed.Batch{}, eris.Wrap(err, "build table request")
	}
	response, err := peerClient.Do(request)
	if err != nil {
		return feed.Batch{}, eris.Wrap(err, "send table request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return feed.Batch{}, eris.Wrapf(ErrReadRefused, "table response has status %d", response.StatusCode)
	}
	body := &countingReader{reader: io.LimitReader(response.Body, maxTableBytes)}
	var batch feed.Batch
	err = json.NewDecoder(body).Decode(&batch)
	batch.Bytes = body.count
	return batch, eris.Wrap(err, "decode table response")
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	reader io.Reader
	count  int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count += int64(n)
	return n, err
}

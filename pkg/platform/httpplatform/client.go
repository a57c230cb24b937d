// Package httpplatform implements the interfaces of package platform over HTTP and
// JSON. It never repeats a commit: only its callers can find out whether a commit
// without a response was applied.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/serverconn"
)

// maxResponseBytes bounds the memory that one response of the platform can take.
const maxResponseBytes = 64 << 20

// Client is an HTTP client of the platform. It is safe for concurrent use.
// Deadlines come from the context that is passed to each method.
type Client struct {
	baseURL     string
	http        *http.Client
	transferred *byteCounter
	list        listCache
}

var _ platform.Platform = (*Client)(nil)

// New returns a client for the platform at the base URL, for example
// "http://127.0.0.1:9000".
func New(base string) *Client {
	dialer := &net.Dialer{
		Timeout: time.Second,
		// Detects within 4 s a connection whose state a middlebox has dropped.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	transferred := &byteCounter{}
	client := serverconn.NewClient(&http.Transport{
		DialContext:         transferred.wrapDial(dialer.DialContext),
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     15 * time.Second,
	})
	return &Client{baseURL: strings.TrimRight(base, "/"), http: client, transferred: transferred}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) (platform.ReadResult, error) {
	return c.read(ctx, http.MethodPost, "/table/get", platform.GetRequest{Keys: keys})
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (platform.ReadResult, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.read(ctx, http.MethodGet, "/table/scan?"+query.Encode(), nil)
}

// Changes implements platform.Table.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64, limit int, options ...platform.ChangesOption) (platform.ReadResult, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"limit":  {strconv.Itoa(limit)},
	}
	if slices.Contains(options, platform.KeysOnly) {
		query.Set("keys", "1")
	}
	return c.read(ctx, http.MethodGet, "/table/changes?"+query.Encode(), nil)
}

func (c *Client) read(ctx context.Context, method, path string, body any) (platform.ReadResult, error) {
	var response platform.ReadResponse
	status, err := c.call(ctx, method, path, body, &response)
	if err != nil {
		return platform.ReadResult{}, err
	}
	if status != http.StatusOK {
		return platform.ReadResult{}, statusError(status)
	}
	return platform.ReadResult(response), nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) platform.CommitResult {
	var response platform.CommitResponse
	status, err := c.call(ctx, http.MethodPost, "/table/commit", txn, &response)
	switch {
	case err != nil && isDialError(err):
		return platform.CommitResult{Status: platform.CommitNotApplied, Err: err}
	case err != nil:
		return platform.CommitResult{Status: platform.CommitUnknown, Err: err}
	case status == http.StatusOK && response.Version == 0:
		// Not a response of the store: each commit has a sequence number.
		return platform.CommitResult{Status: platform.CommitUnknown, Err: statusError(status)}
	case status == http.StatusOK:
		return platform.CommitResult{Status: platform.CommitApplied, Version: response.Version, Time: response.Time}
	case status == http.StatusConflict:
		return platform.CommitResult{Status: platform.CommitConflict, Conflicts: response.Conflicts, Time: response.Time}
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return platform.CommitResult{Status: platform.CommitNotApplied, Err: statusError(status)}
	default:
		return platform.CommitResult{Status: platform.CommitUnknown, Err: statusError(status)}
	}
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(name), bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build object request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unavailable(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return statusError(response.StatusCode)
	}
	return nil
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.objectURL(name), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build object request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, eris.Wrapf(platform.ErrNotFound, "object %q", name)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, unavailable(err)
	}
	if len(data) > maxResponseBytes {
		return nil, eris.Wrapf(platform.ErrProtocol, "object %q has more than %d bytes", name, maxResponseBytes)
	}
	return data, nil
}

func (c *Client) objectURL(name string) string {
	return c.baseURL + "/objects/" + url.PathEscape(name)
}

// RegisterVM adds or replaces an entry of the stand-in's VM list. A real
// platform maintains its list itself.
func (c *Client) RegisterVM(ctx context.Context, vm platform.VM) error {
	return c.put(ctx, "/standin/vms/"+url.PathEscape(vm.ID), vm)
}

// RemoveVM removes an entry from the stand-in's VM list.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	status, err := c.call(ctx, http.MethodDelete, "/standin/vms/"+url.PathEscape(id), nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return statusError(status)
	}
	return nil
}

// SetFaults replaces the active faults of the stand-in.
func (c *Client) SetFaults(ctx context.Context, faults platform.Faults) error {
	return c.put(ctx, "/standin/faults", faults)
}

// RecordRun reports to the stand-in that a server has run the idempotency key. It
// returns how often the key has run on all stand-in servers.
func (c *Client) RecordRun(ctx context.Context, key string) (int64, error) {
	var response struct {
		Runs int64 `json:"runs"`
	}
	status, err := c.call(ctx, http.MethodPost, "/standin/runs?key="+url.QueryEscape(key), nil, &response)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, statusError(status)
	}
	return response.Runs, nil
}

func (c *Client) put(ctx context.Context, path string, body any) error {
	status, err := c.call(ctx, http.MethodPut, path, body, nil)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return statusError(status)
	}
	return nil
}

// call sends a JSON request and decodes the JSON body of a 200 or 409 response.
func (c *Client) call(ctx context.Context, method, path string, body, result any) (int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, eris.Wrap(err, "encode platform request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return 0, eris.Wrap(err, "build platform request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, unavailable(err)
	}
	defer response.Body.Close()
	if result == nil || (response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict) {
		// Draining the body allows the connection to be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		return response.StatusCode, nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result)
	if err != nil {
		return 0, unavailable(err)
	}
	return response.StatusCode, nil
}

// unavailableError wraps the cause so that isDialError can find it.
type unavailableError struct {
	cause error
}

func (e *unavailableError) Error() string        { return "platform unavailable: " + e.cause.Error() }
func (e *unavailableError) Unwrap() error        { return e.cause }
func (e *unavailableError) Is(target error) bool { return target == platform.ErrUnavailable }

func unavailable(cause error) error {
	return &unavailableError{cause: cause}
}

// isDialError reports whether no connection was opened, so that the request was
// not sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

func statusError(status int) error {
	cause := eris.Errorf("platform responded with status %d %s", status, http.StatusText(status))
	if status >= 500 {
		return unavailable(cause)
	}
	return eris.Wrapf(platform.ErrProtocol, "status %d", status)
}

package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/serverconn"
	"balsamhill/pkg/tablecodec"
	"balsamhill/pkg/transfer"
)

// peerClient reads tables from other gateways and sends bootstrap requests.
var peerClient = serverconn.NewClient(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
	DisableCompression:  true,
	MaxIdleConnsPerHost: 1,
	IdleConnTimeout:     10 * time.Second,

	MaxResponseHeaderBytes: maxPeerHeaderBytes,
})

// maxPeerHeaderBytes bounds the header of a response of another gateway.
const maxPeerHeaderBytes = 64 << 10

// tableClient reads one table from other gateways. A read that is cut off is resumed by
// the next one, also from another gateway. It is not safe for concurrent use.
type tableClient struct {
	table   feed.Table
	partial partialBody
}

// partialBody is the beginning of a response that was cut off.
type partialBody struct {
	etag     string
	base     feed.Base
	received []byte
}

// read reads rows from the gateway at an address. With an error, the batch contains only
// the number of bytes that were received.
func (c *tableClient) read(ctx context.Context, address string, query tableQuery) (feed.Batch, error) {
	began := time.Now()
	ctx, watchdog := transfer.Watch(ctx, peerTimeout)
	defer watchdog.Stop()
	request, err := c.newRequest(ctx, address, query)
	if err != nil {
		return feed.Batch{}, eris.Wrap(err, "build table request")
	}
	response, err := peerClient.Do(request)
	if err != nil {
		return feed.Batch{}, eris.Wrap(watchdog.Err(err), "send table request")
	}
	defer response.Body.Close()
	partial := c.takePartial()
	switch response.StatusCode {
	case http.StatusOK:
		partial.received = nil
	case http.StatusPartialContent:
	default:
		return feed.Batch{}, eris.Wrapf(ErrReadRefused, "table response has status %d", response.StatusCode)
	}
	resumedAt := len(partial.received)
	body, err := watchdog.ReadAll(response.Body, partial.received, peerTimeout, maxTableBytes)
	bytes := int64(len(body) - resumedAt)
	if err != nil {
		c.partial = partialBody{etag: response.Header.Get("ETag"), base: query.base, received: body}
		return feed.Batch{Bytes: bytes}, eris.Wrap(err, "read table response")
	}
	batch, err := decodeTable(response.Header, body, query)
	batch.Bytes = bytes
	// The other gateway stated the age at some time since the request.
	batch.Age += int64(time.Since(began))
	return batch, err
}

// takePartial returns the partial body and forgets it.
func (c *tableClient) takePartial() partialBody {
	partial := c.partial
	c.partial = partialBody{}
	return partial
}

func (c *tableClient) newRequest(ctx context.Context, address string, query tableQuery) (*http.Request, error) {
	values := url.Values{}
	if !query.full {
		values.Set(paramAfter, strconv.FormatUint(query.after.Version, 10))
		values.Set(paramEra, strconv.FormatUint(query.after.Era, 10))
		values.Set(paramRank, strconv.FormatUint(query.after.Rank, 10))
	}
	if query.base != (feed.Base{}) {
		values.Set(paramBaseKey, query.base.Key)
		values.Set(paramBaseVersion, strconv.FormatUint(query.base.Version, 10))
		values.Set(paramBaseEra, strconv.FormatUint(query.base.Era, 10))
		values.Set(paramBaseRank, strconv.FormatUint(query.base.Rank, 10))
	}
	target := url.URL{Scheme: "http", Host: address, Path: tablePath + string(c.table), RawQuery: values.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", tableContentType)
	if c.partial.etag == "" || len(c.partial.received) == 0 || c.partial.base != query.base {
		c.partial = partialBody{}
		return request, nil
	}
	request.Header.Set("Range", "bytes="+strconv.Itoa(len(c.partial.received))+"-")
	request.Header.Set("If-Range", c.partial.etag)
	return request, nil
}

// decodeTable decodes a response. One in JSON is from a gateway of an older build.
func decodeTable(header http.Header, body []byte, query tableQuery) (feed.Batch, error) {
	if header.Get("Content-Type") != tableContentType {
		var batch feed.Batch
		err := json.Unmarshal(body, &batch)
		return batch, eris.Wrap(err, "decode table response")
	}
	batch, err := parseBatchHeaders(header)
	if err != nil {
		return feed.Batch{}, err
	}
	var baseValue []byte
	if header.Get(headerRelative) != "" {
		baseValue = query.baseValue
	}
	batch.Rows, err = tablecodec.Decode(body, baseValue, maxTableBytes)
	return batch, eris.Wrap(err, "decode table response")
}

func parseBatchHeaders(header http.Header) (feed.Batch, error) {
	batch := feed.Batch{Full: header.Get(headerFull) != ""}
	var err error
	batch.AsOf, err = strconv.ParseUint(header.Get(headerAsOf), 10, 64)
	if err != nil {
		return batch, eris.Wrapf(err, "parse header %s", headerAsOf)
	}
	if text := header.Get(headerEra); text != "" {
		batch.Era, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			return batch, eris.Wrapf(err, "parse header %s", headerEra)
		}
	}
	batch.Age, err = strconv.ParseInt(header.Get(headerAge), 10, 64)
	if err != nil {
		return batch, eris.Wrapf(err, "parse header %s", headerAge)
	}
	if text := header.Get(headerRecoveryAge); text != "" {
		batch.RecoveryAge, err = strconv.ParseInt(text, 10, 64)
	}
	return batch, eris.Wrapf(err, "parse header %s", headerRecoveryAge)
}

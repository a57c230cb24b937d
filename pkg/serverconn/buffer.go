package serverconn

import (
	"bytes"
	"io"
	"net/http"
)

// BufferBody reads up to limit bytes of the body of a response. A body that ends within them gets a
// Content-Length. With an error, which says that the body broke off or is not valid, the response must
// not be passed on.
func BufferBody(response *http.Response, limit int) error {
	body := response.Body
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return err
	}
	if len(data) > limit {
		response.Body = prefixedBody{io.MultiReader(bytes.NewReader(data), body), body}
		return nil
	}
	_ = body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	response.ContentLength = int64(len(data))
	response.TransferEncoding = nil
	return nil
}

// prefixedBody returns the buffered bytes and then the rest of a body.
type prefixedBody struct {
	io.Reader
	io.Closer
}

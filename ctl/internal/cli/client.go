package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/httpstatus"
	"bulrushspoke/wire"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 16 << 20

// call sends a request without retries and decodes a response with status 200 into target. It returns the status and the
// body of other responses as well, with an error.
func (a *app) call(method, path string, header map[string]string, body []byte, target any) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(strings.TrimSuffix(a.URL, "/") + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.SetBody(body)
	c := fasthttp.Client{DialTimeout: httpstatus.DialTimeout, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponseBytes}
	if err := c.DoTimeout(req, resp, a.Timeout); err != nil {
		return 0, nil, a.noResponseError(method, err)
	}
	status, text := resp.StatusCode(), append([]byte(nil), resp.Body()...)
	if status != fasthttp.StatusOK {
		var e wire.ErrorBody
		if err := json.Unmarshal(text, &e); err != nil || e.Error.Code == "" {
			return status, text, &exitError{status: exitFailed, text: fmt.Sprintf("%s returned status %d", a.URL, status)}
		}
		return status, text, refusalError(status, e.Error)
	}
	if target == nil {
		return status, text, nil
	}
	if err := json.Unmarshal(text, target); err != nil {
		return status, text, &exitError{status: exitFailed, text: fmt.Sprintf("%s: invalid response: %s", a.URL, err)}
	}
	return status, text, nil
}

// noResponseError returns the error for a request that got no response. Its outcome is unknown unless the request is a GET
// or could not be sent.
func (a *app) noResponseError(method string, cause error) error {
	status := exitUnknown
	var op *net.OpError
	dialFailed := errors.Is(cause, fasthttp.ErrDialTimeout) || errors.As(cause, &op) && op.Op == "dial"
	if dialFailed || method == fasthttp.MethodGet {
		status = exitUnreachable
	}
	return &exitError{status: status, text: fmt.Sprintf("no response from %s: %s", a.URL, cause)}
}

// get sends a GET request and decodes the response into target.
func (a *app) get(path string, target any) error {
	_, _, err := a.call(fasthttp.MethodGet, path, nil, nil, target)
	return err
}

// pathSegment escapes s for use as one segment of a URL path.
func pathSegment(s string) string { return url.PathEscape(s) }

package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"bulrushspoke/wire"
)

// call sends one request, never a second time by itself, and stores the answer in target. It returns the status and
// the body of a refusal as well.
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
	c := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := c.DoTimeout(req, resp, a.Timeout); err != nil {
		return 0, nil, a.unanswered(method, err)
	}
	status, text := resp.StatusCode(), append([]byte(nil), resp.Body()...)
	if status != fasthttp.StatusOK {
		var e wire.ErrorBody
		if err := json.Unmarshal(text, &e); err != nil || e.Error.Code == "" {
			return status, text, &exitError{status: exitFailed, text: fmt.Sprintf("%s answered %d", a.URL, status)}
		}
		return status, text, failure(status, e.Error)
	}
	if target == nil {
		return status, text, nil
	}
	if err := json.Unmarshal(text, target); err != nil {
		return status, text, &exitError{status: exitFailed, text: fmt.Sprintf("%s: answer: %s", a.URL, err)}
	}
	return status, text, nil
}

// unanswered returns the error of a request without an answer, which has an unknown outcome unless it changes nothing
// or was never sent.
func (a *app) unanswered(method string, cause error) error {
	status := exitUnknown
	var op *net.OpError
	dial := errors.Is(cause, fasthttp.ErrDialTimeout) || errors.As(cause, &op) && op.Op == "dial"
	if dial || method == fasthttp.MethodGet {
		status = exitUnreachable
	}
	return &exitError{status: status, text: fmt.Sprintf("%s does not answer: %s", a.URL, cause)}
}

// get reads a path into target.
func (a *app) get(path string, target any) error {
	_, _, err := a.call(fasthttp.MethodGet, path, nil, nil, target)
	return err
}

// segment escapes a part of a path.
func segment(s string) string { return url.PathEscape(s) }

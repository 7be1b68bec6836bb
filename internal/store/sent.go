package store

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// neverSent reports whether err proves that no byte of the request left this process.
func neverSent(err error) bool {
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

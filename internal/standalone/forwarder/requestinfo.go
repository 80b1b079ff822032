package forwarder

import (
	"context"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

// RequestInfo contains what a listener has read and validated of a request. The context that carries it ends at the
// client's deadline, or with the cause context.Canceled when the client disconnects.
type RequestInfo struct {
	Class       uint8       // the class's number in the settings
	Tenant      uint32      // the tenant's index in the settings
	Work        policy.Time // expected work, in microseconds on a standard core; 0: unknown
	AffinityKey uint64      // hash of the session key, for affinity; 0: none
	Body        []byte      // the complete body, or its start if there is a Stream
	// Stream is the rest of a body that is too large to be buffered; nil: Body is complete. With a Stream the context
	// has no deadline, since the client's time-out counts from the body's last byte. The context then ends with the
	// cause context.DeadlineExceeded at the end of the time-out, or with the body's error if the body breaks off.
	Stream *requestbody.Stream
	// ClientDisconnected reports whether the client has disconnected, and ends the context if so. nil: only the end of
	// the context shows a disconnect.
	ClientDisconnected func() bool

	Served   bool // set by RoundTrip if a backend has answered
	Rejected bool // set by RoundTrip if the policy has rejected the request
}

type requestInfoKey struct{}

// WithRequestInfo returns a context that carries info.
func WithRequestInfo(ctx context.Context, info *RequestInfo) context.Context {
	return context.WithValue(ctx, requestInfoKey{}, info)
}

// RequestInfoFrom returns the RequestInfo that ctx carries, or nil.
func RequestInfoFrom(ctx context.Context) *RequestInfo {
	info, _ := ctx.Value(requestInfoKey{}).(*RequestInfo)
	return info
}

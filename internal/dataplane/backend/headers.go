package backend

// Names of headers between clients, proxies and backends.
const (
	HeaderRequestID   = "Request-Id"
	HeaderTimeLeft    = "Time-Left-Ms"
	HeaderTarget      = "Target-Backend" // ID of the backend; a backend with another ID responds with 421
	HeaderSeal        = "Server-Seal"    // response header; the proxy copies it without reading it
	HeaderNotRun      = "Not-Run"        // the backend rejected the request before processing it
	HeaderLoad        = "Backend-Load"   // see ParseLoad
	HeaderBackendID   = "Backend-Id"
	HeaderLastEventID = "Last-Event-Id"
	HeaderPriority    = "Priority"
)

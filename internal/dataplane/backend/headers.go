package backend

// Names of headers between clients, proxies and backends.
const (
	HeaderRequestID   = "Request-Id"
	HeaderTimeLeft    = "Time-Left-Ms"
	HeaderTarget      = "Target-Backend" // the backend's ID; another backend answers 421
	HeaderSeal        = "Server-Seal"    // of a response; the proxy copies it without reading it
	HeaderNotRun      = "Not-Run"        // the backend rejected the request before processing it
	HeaderLoad        = "Backend-Load"   // see ParseLoad
	HeaderBackendID   = "Backend-Id"
	HeaderLastEventID = "Last-Event-Id"
	HeaderPriority    = "Priority"
)

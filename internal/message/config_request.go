package message

// ConfigRequest forwards an operator's HTTP request from the member that received it to the one that answers it: the
// head for changes, the tail for reads.
type ConfigRequest struct {
	ID      uint64 `msg:"i"` // chosen by the member that received the request; a repeated request has the same ID
	Method  string `msg:"m"` // GET, PUT or PATCH
	IfMatch string `msg:"f"` // header If-Match: the version that the change is based on
	Body    []byte `msg:"b"`
}

// ConfigResponse answers ConfigRequest.
type ConfigResponse struct {
	ID     uint64 `msg:"i"`
	Status int    `msg:"s"` // HTTP status
	Body   []byte `msg:"b"`
}

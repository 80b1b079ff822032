package policy

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of actions, with the fields that are set.
const (
	SendAttempt        ActionKind = iota + 1 // ID, Server, SendBefore, After: time-out (0: the client's)
	RejectRequest                            // ID, After: the Retry-After (0: none)
	FailRequest                              // ID
	CancelAttempt                            // ID, Attempt
	SetTimer                                 // ID: returned in TimerFired, After
	PollLoad                                 // Server
	SubscribeDiscovery                       // to membership changes, starting with missed ones
	LogMessage                               // Text
	CloseIdleConns                           // Server
)

// Action is something that the caller must do. The attempts of a request are numbered from 0 in the order of
// its SendAttempts.
type Action struct {
	Kind       ActionKind
	Attempt    uint8
	Server     ServerID
	ID         uint64
	After      Time
	SendBefore Time // of a SendAttempt: no write from then on, or it could execute twice; 0: no limit
	Text       string
}

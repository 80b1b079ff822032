package model

type eventKind uint8

const (
	evArrival            eventKind = iota + 1 // the next client's first try
	evRetry                                   // a client tries again: a=call id=its number
	evReceiveRequest                          // a try comes to its proxy: a=job id
	evArriveAtServer                          // an attempt comes to its server: a=task
	evServerProgress                          // a server may have finished something: a=server
	evReceiveOutcome                          // an attempt's end comes to its proxy: a=task
	evAttemptTimeout                          // an attempt's time is up: a=job n=attempt id
	evRequestExpired                          // a try's time is up: a=job id
	evTimer                                   // a node's timer: a=proxy b=incarnation id=tag
	evReceiveAnswer                           // an answer comes to the client: a=call b=Retry-After n=outcome id=the try's
	evAbandonAttempt                          // the client leaves: a=call id=the try's
	evPauseStart                              // a server's pause begins: a=server b=epoch
	evPauseEnd                                // and ends
	evCloseIdle                               // a proxy's idle connections: a=proxy b=incarnation
	evFault                                   // a step of a trouble: a=trouble n=step b=step's number
	evDiscoveryUpdate                         // discovery learns of a change: a=server n=mode id=its start
	evNotifyProxy                             // a watch brings news: a=proxy b=incarnation
	evSubscribeResult                         // a call to discovery is answered: a=proxy b=incarnation n=1: it failed
	evWatchBreaks                             // a watch breaks: a=proxy b=incarnation
	evPeerMessage                             // a message between proxies: a=proxy b=place
	evSample                                  // once a second
	evServerUp                                // a server process starts: a=server
	evServerDown                              // a draining server's process ends: a=server b=epoch n=1: a successor follows
	evProxyDown                               // a proxy that was told to stop has ended: a=proxy b=incarnation
	evProxyUp                                 // a killed proxy starts: a=proxy
	evProbeResult                             // a probe's answer comes: a=proxy b=incarnation id=server
	evDownstreamWaitOver                      // an attempt has waited on others: a=task n=outcome
	evAttemptFailed                           // an attempt that reached nobody: a=job n=attempt b=outcome id
)

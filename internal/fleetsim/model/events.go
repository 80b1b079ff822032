package model

type eventKind uint8

const (
	evArrival    eventKind = iota + 1 // the next client's first try
	evTry                             // a client tries again: a=call id=its number
	evTake                            // a try comes to its proxy: a=job id
	evReach                           // an attempt comes to its server: a=task
	evServer                          // a server may have finished something: a=server
	evOutcome                         // an attempt's end comes to its proxy: a=task
	evLimit                           // an attempt's time is up: a=job n=attempt id
	evOverdue                         // a try's time is up: a=job id
	evTimer                           // a node's timer: a=proxy b=incarnation id=tag
	evBack                            // an answer comes to the client: a=call b=Retry-After n=outcome id=the try's
	evLeave                           // the client leaves: a=call id=the try's
	evPause                           // a server's pause begins: a=server b=epoch
	evResume                          // and ends
	evSweep                           // a proxy's idle connections: a=proxy b=incarnation
	evTrouble                         // a step of a trouble: a=trouble n=step b=step's number
	evListed                          // discovery learns of a change: a=server n=mode id=its start
	evInform                          // a watch brings news: a=proxy b=incarnation
	evCalled                          // a call to discovery is answered: a=proxy b=incarnation n=1: it failed
	evBreak                           // a watch breaks: a=proxy b=incarnation
	evLetter                          // a message between proxies: a=proxy b=place
	evSample                          // once a second
	evServerUp                        // a server process starts: a=server
	evServerDown                      // a draining server's process ends: a=server b=epoch n=1: a successor follows
	evProxyDown                       // a proxy that was told to stop has ended: a=proxy b=incarnation
	evProxyUp                         // a killed proxy starts: a=proxy
	evProbed                          // a probe's answer comes: a=proxy b=incarnation id=server
	evWaited                          // an attempt has waited on others: a=task n=outcome
	evFailed                          // an attempt that reached nobody: a=job n=attempt b=outcome id
)

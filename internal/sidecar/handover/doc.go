// Package handover passes a listening socket from a running process, the predecessor, to
// the process that replaces it, the successor. The two are also called the old and the new
// process. They speak a line-based protocol over a Unix socket. The file descriptors are
// sent as ancillary data (SCM_RIGHTS) of the line "give". In the following list, "new" and
// "old" name the sender of each line, and N is the number of bytes that follow the line:
//
//	new: otterspring-handover/1 take ADDRESS   the address that the new process is to serve
//	old: give N, then N bytes                  the descriptors of the listener and, if there is one, of the CoAP socket;
//	                                           the endpoint list of the old process
//	new: ready                                 the new process is ready to serve
//	old: yours                                 the new process may accept connections
//	new: taken                                 the new process accepts connections
//	old: agreed                                the old process no longer accepts connections, and drains
//	new: settled                               the old process must not accept connections again
//	both: list N, then N bytes                 an endpoint list that the sender received
//	old: coap N, then N bytes                  the old process no longer reads the CoAP socket; the state of its CoAP exchanges
//	old: done                                  the old process has drained and exits
//
// Instead of "give" the old process may reply "no REASON" and close the connection.
//
// Both processes belong to one instance. An endpoint change that one process receives must
// be applied by the other process within the same grace period. Endpoint lists are therefore
// sent in both directions until "done".
//
// If the connection ends before "agreed", the old process continues to serve, and the new
// process exits if it is still running. If the connection ends between "agreed" and
// "settled", the new process has failed. If the old process is still draining at that time,
// it accepts connections again.
//
// At any time at least one process has the listening socket open, so no connection is
// refused. Either process can accept the connections in the accept queue.
package handover

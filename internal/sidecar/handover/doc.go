// Package handover passes a listening socket from a running process to the one that
// replaces it, over a Unix socket. The protocol is of lines; the descriptors travel
// beside the line "give":
//
//	new: otterspring-handover/1 take ADDRESS   the address that it is to serve
//	old: give N, then N bytes                  the descriptors of the listener and, if there is one, of the CoAP socket;
//	                                           the endpoint list of the old process
//	new: ready                                 it could serve now
//	old: yours                                 it may accept connections
//	new: taken                                 it accepts connections
//	old: agreed                                the old process accepts no more, and drains
//	new: settled                               the old process must not accept again
//	both: list N, then N bytes                 an endpoint list that this side received
//	old: coap N, then N bytes                  it does not read the CoAP socket any more; its state of CoAP exchanges
//	old: done                                  it has drained and exits
//
// In place of give the old process may answer "no REASON", and close.
//
// Both processes are one instance: an endpoint change that one of them receives has to
// apply to the other within the same grace period, so lists pass both ways until "done".
//
// If the connection ends before "agreed" the old process continues as before, and the
// new one, if it still runs, exits. If it ends between "agreed" and "settled" the new
// process has failed: the old one, while it drains, accepts again. At each moment at
// least one process has the listening socket open, so no connection is refused, and
// those in its queue are accepted by either.
package handover

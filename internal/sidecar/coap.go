package sidecar

// CoAPAddr is where CoAP clients are taken; empty where they are not.
func (s *Sidecar) CoAPAddr() string {
	if s.coap == nil {
		return ""
	}
	return s.coap.Addr()
}

// coapDraining has the front for CoAP turn away what is new, or no longer.
func (s *Sidecar) coapDraining(on bool) {
	switch {
	case s.coap == nil:
	case on:
		s.coap.Refuse()
	default:
		s.coap.Resume()
	}
}

// coapOpen is how many requests over CoAP have no answer yet.
func (s *Sidecar) coapOpen() int {
	if s.coap == nil {
		return 0
	}
	return s.coap.Open()
}

// coapEnd ends the front.
func (s *Sidecar) coapEnd() {
	if s.coap != nil {
		s.coap.Close()
	}
}

package exchange

import (
	"cmp"
	"slices"
)

// addWaiting adds a copy to those that wait for an exchange's response.
func (s *Store) addWaiting(exchange *storedExchange, received *CopyReceived) {
	if len(exchange.waiting) >= s.settings.MaxWaitingCopies { // the oldest connection is the likeliest to be half-open
		s.respond(exchange.waiting[0].id, Respond{Kind: ResponseSuperseded})
		exchange.waiting = exchange.waiting[1:]
	}
	exchange.waiting = append(exchange.waiting, waitingCopy{received.Copy, s.nowMs + max(0, received.RemainingMs)})
	exchange.lastActivityMs = s.nowMs
	s.copies[received.Copy] = exchange.id
	s.armTimer(exchange)
}

// onCopyCanceled forgets a copy. Its exchange continues, because the device may send another copy.
func (s *Store) onCopyCanceled(id CopyID) {
	exchange := s.exchanges[s.copies[id]]
	delete(s.copies, id)
	if exchange == nil {
		return
	}
	for i, waiter := range exchange.waiting {
		if waiter.id == id {
			exchange.waiting = append(exchange.waiting[:i], exchange.waiting[i+1:]...)
			s.armTimer(exchange)
			return
		}
	}
}

// onResponseWritten records that a response was delivered.
func (s *Store) onResponseWritten(written *ResponseWritten) {
	exchange := s.exchanges[s.copies[written.Copy]]
	delete(s.copies, written.Copy)
	if exchange == nil {
		return
	}
	exchange.device.link.Observe(written.Link)
	if exchange.state == stateResponded {
		s.setState(exchange, stateDelivered)
		s.armTimer(exchange)
	}
}

// onLinkMeasured adds measurements of a device's link. Copies that wait may have to get a response earlier for it.
func (s *Store) onLinkMeasured(measured *LinkMeasured) {
	device := s.devices[measured.Device]
	if device == nil {
		return
	}
	device.link.Observe(measured.Link)
	var waiting []*storedExchange
	for _, exchange := range device.exchanges {
		if len(exchange.waiting) > 0 {
			waiting = append(waiting, exchange)
		}
	}
	// The order of a map is random, that of timers must not be.
	slices.SortFunc(waiting, func(a, b *storedExchange) int { return cmp.Compare(a.id, b.id) })
	for _, exchange := range waiting {
		s.armTimer(exchange)
	}
}

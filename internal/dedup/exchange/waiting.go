package exchange

import (
	"cmp"
	"slices"
)

// addWaiting adds a transmission to those that wait for the response of an exchange. If
// Settings.MaxWaitingTransmissions already wait, the oldest of them is superseded.
func (s *Store) addWaiting(exchange *storedExchange, received *TransmissionReceived) {
	if len(exchange.waiting) >= s.settings.MaxWaitingTransmissions { // the oldest connection is the most likely to be half-open
		s.respond(exchange.waiting[0].id, Respond{Kind: ResponseSuperseded})
		exchange.waiting = exchange.waiting[1:]
	}
	exchange.waiting = append(exchange.waiting, waitingTransmission{received.Transmission, s.nowMs + max(0, received.RemainingMs)})
	exchange.lastActivityMs = s.nowMs
	s.transmissions[received.Transmission] = exchange.id
	s.armTimer(exchange)
}

// onTransmissionCanceled removes a transmission. Its exchange continues, because the device may send another transmission.
func (s *Store) onTransmissionCanceled(id TransmissionID) {
	exchange := s.exchanges[s.transmissions[id]]
	delete(s.transmissions, id)
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

// onResponseWritten records the delivery of a response.
func (s *Store) onResponseWritten(written *ResponseWritten) {
	exchange := s.exchanges[s.transmissions[written.Transmission]]
	delete(s.transmissions, written.Transmission)
	if exchange == nil {
		return
	}
	exchange.device.link.Observe(written.Link)
	if exchange.state == stateResponded {
		s.setState(exchange, stateDelivered)
		s.armTimer(exchange)
	}
}

// onLinkMeasured adds measurements of a device's link. They may change the time by which waiting transmissions must get a
// response.
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
	// The iteration order of a map is random. A fixed order is needed, because the same events must give the same actions.
	slices.SortFunc(waiting, func(a, b *storedExchange) int { return cmp.Compare(a.id, b.id) })
	for _, exchange := range waiting {
		s.armTimer(exchange)
	}
}

package exchange

import "container/list"

// responseSizeGain is the gain of the smoothed size of a device's responses.
const responseSizeGain = 1.0 / 4

// trackedDevice is a device that has sent something recently.
type trackedDevice struct {
	name                 string
	link                 LinkEstimator
	exchanges            map[string]*storedExchange // by key
	active               int                        // number of its exchanges that are receiving or running
	averageResponseBytes float64                    // smoothed
	idleElement          *list.Element              // in Store.idleDevices; nil if it has exchanges
}

// observeResponse adds the size of a response to the smoothed one.
func (d *trackedDevice) observeResponse(bytes int) {
	d.averageResponseBytes += (float64(bytes) - d.averageResponseBytes) * responseSizeGain
}

// runBudgetMs returns how long a run may take if its response is to reach the device in time.
func (d *trackedDevice) runBudgetMs(remainingMs float64) float64 {
	return remainingMs - d.link.ExpectedOverheadMs(int(d.averageResponseBytes), remainingMs)
}

// admitDevice returns the device of a name, which it adds if it is new. At the limit it forgets the least
// recently seen device without exchanges, and returns nil if there is none.
func (s *Store) admitDevice(name string) *trackedDevice {
	device := s.devices[name]
	if device == nil {
		if len(s.devices) >= s.settings.MaxDevices {
			oldest := s.idleDevices.Front()
			if oldest == nil {
				return nil
			}
			s.idleDevices.Remove(oldest)
			delete(s.devices, oldest.Value.(*trackedDevice).name)
		}
		device = &trackedDevice{name: name, exchanges: map[string]*storedExchange{}}
		s.devices[name] = device
	}
	s.updateIdle(device)
	return device
}

// updateIdle moves a device without exchanges to the end of the list of those that may be forgotten, and takes one with
// exchanges out of it.
func (s *Store) updateIdle(d *trackedDevice) {
	if d.idleElement != nil {
		s.idleDevices.Remove(d.idleElement)
		d.idleElement = nil
	}
	if len(d.exchanges) == 0 {
		d.idleElement = s.idleDevices.PushBack(d)
	}
}

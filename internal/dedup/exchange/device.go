package exchange

import "container/list"

// responseSizeGain is the gain of the moving average of a device's response size.
const responseSizeGain = 1.0 / 4

// trackedDevice is a device whose link and exchanges are stored.
type trackedDevice struct {
	name                 string
	link                 LinkEstimator
	exchanges            map[string]*storedExchange // exchanges of the device by key
	active               int                        // number of exchanges in stateReceiving or stateRunning
	averageResponseBytes float64                    // exponential moving average of the sizes of responses
	idleElement          *list.Element              // element of Store.idleDevices; nil if the device has exchanges
}

// observeResponse adds the size of a response to the moving average.
func (d *trackedDevice) observeResponse(bytes int) {
	d.averageResponseBytes += (float64(bytes) - d.averageResponseBytes) * responseSizeGain
}

// executionBudgetMs returns the longest time that an execution may take for its response to reach the device in time.
func (d *trackedDevice) executionBudgetMs(remainingMs float64) float64 {
	return remainingMs - d.link.ExpectedOverheadMs(int(d.averageResponseBytes), remainingMs)
}

// findOrAddDevice returns the device with a name and adds it if it is new. If Settings.MaxDevices are stored, it first
// removes the least recently seen device without exchanges. If every stored device has exchanges, it adds none and returns nil.
func (s *Store) findOrAddDevice(name string) *trackedDevice {
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

// updateIdle moves a device without exchanges to the end of the list of idle devices, and removes a device with exchanges
// from that list.
func (s *Store) updateIdle(d *trackedDevice) {
	if d.idleElement != nil {
		s.idleDevices.Remove(d.idleElement)
		d.idleElement = nil
	}
	if len(d.exchanges) == 0 {
		d.idleElement = s.idleDevices.PushBack(d)
	}
}

package entry

// isEvacuated reports whether the configuration evacuates a zone.
func (c *Core) isEvacuated(zone string) bool {
	if c.index == nil {
		return false
	}
	_, evacuated := c.index.Config.EvacuatedZones[zone]
	return evacuated
}

package operatorconfig

import "reflect"

// Names of the sections in the file.
const (
	sectionDrain         = "drain"
	sectionHandover      = "handover"
	sectionNotify        = "notify"
	sectionCoAP          = "coap"
	sectionEndpointList  = "list"
	sectionConfiguration = "configuration"
)

// EnabledSections returns the names of the enabled sections.
func (f *File) EnabledSections() []string {
	var names []string
	for _, section := range []struct {
		name    string
		enabled bool
	}{
		{sectionDrain, f.Drain.Timeout > 0},
		{sectionHandover, f.Handover.Socket != ""},
		{sectionNotify, f.Notify.Systemd},
		{sectionCoAP, f.CoAP.Listen != "" || f.CoAP.Upstreams},
		{sectionEndpointList, f.EndpointList.Proxy != ""},
		{sectionConfiguration, f.Configuration.Enabled()},
	} {
		if section.enabled {
			names = append(names, section.name)
		}
	}
	return names
}

// RestartRequired returns the names of the sections that differ between f and a newer file and
// that a reload does not apply.
func (f *File) RestartRequired(newer *File) []string {
	var names []string
	for _, section := range []struct {
		name       string
		old, newer any
	}{
		{sectionHandover, f.Handover, newer.Handover},
		{sectionNotify, f.Notify, newer.Notify},
		{sectionCoAP, f.CoAP, newer.CoAP},
		{sectionEndpointList, f.EndpointList, newer.EndpointList},
		{sectionConfiguration, f.Configuration, newer.Configuration},
	} {
		if !reflect.DeepEqual(section.old, section.newer) {
			names = append(names, section.name)
		}
	}
	return names
}

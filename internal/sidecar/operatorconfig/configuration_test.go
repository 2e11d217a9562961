package operatorconfig

import (
	"fmt"
	"strings"
	"testing"
)

// section is a valid [configuration] with changes: pairs of a key and its value, "" to
// omit it.
func section(changes ...string) string {
	values := map[string]string{"region": `"north"`, "relays": `["127.0.0.1:7400", "127.0.0.1:7401"]`, "services": `["orders"]`}
	for i := 0; i < len(changes); i += 2 {
		values[changes[i]] = changes[i+1]
	}
	text := "[configuration]\n"
	for _, key := range []string{"region", "relays", "services", "name"} {
		if values[key] != "" {
			text += key + " = " + values[key] + "\n"
		}
	}
	return text
}

// names is an array of n different names.
func names(n int) string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf(`"s%d"`, i)
	}
	return "[" + strings.Join(all, ",") + "]"
}

func TestConfigurationRequiresARestart(t *testing.T) {
	for _, text := range []string{section(), section("name", `"n1"`), section("services", names(512))} {
		f, err := Load(write(t, text))
		if err != nil || strings.Join(f.EnabledSections(), " ") != "configuration" {
			t.Fatalf("%.200q: found %v enabled and %v, wanted configuration", text, f.EnabledSections(), err)
		}
		off := Defaults()
		if sections := strings.Join(f.RestartRequired(&off), " "); sections != "configuration" {
			t.Errorf("require a restart: found %q, wanted configuration", sections)
		}
		same := f
		if sections := f.RestartRequired(&same); len(sections) > 0 {
			t.Errorf("require a restart: found %q for the same file, wanted none", sections)
		}
	}
}

func TestBadConfigurationIsNamed(t *testing.T) {
	for text, wanted := range map[string]string{
		section("region", ""):                                            `operator.toml: configuration.region: found "", wanted 1 to 64 printable bytes`,
		section("region", `"a b"`):                                       `operator.toml:2: configuration.region: found "a b", wanted 1 to 64 printable bytes`,
		section("relays", ""):                                            `configuration.relays: found 0 addresses, wanted 2 or more`,
		section("relays", `["127.0.0.1:1"]`):                             `operator.toml:3: configuration.relays: found 1 addresses, wanted 2 or more`,
		section("relays", `["127.0.0.1:1", "relay:2"]`):                  `operator.toml:3: configuration.relays[2]: found "relay:2", wanted an IP address and a port`,
		section("relays", `["127.0.0.1:1", "127.0.0.1:0"]`):              `configuration.relays[2]: found "127.0.0.1:0", wanted an IP address and a port`,
		section("relays", `["127.0.0.1:1","127.0.0.1:2","127.0.0.1:1"]`): `configuration.relays[3]: found "127.0.0.1:1" twice, wanted each address once`,
		section("relays", `["127.0.0.1:1","127.0.0.1:2"`+strings.Repeat(`,"127.0.0.1:3"`, 15)+`]`): `configuration.relays: found 17 entries, wanted 16 at most`,
		section("relays", `["127.0.0.1:1","[::ffff:127.0.0.1]:1"]`):                                `configuration.relays[2]: found "[::ffff:127.0.0.1]:1" twice, wanted each address once`,
		section("services", ""):                 `configuration.services: found 0 names, wanted 1 to 512`,
		section("services", names(513)):         `configuration.services: found 513 names, wanted 1 to 512`,
		section("services", `["a", "b", "a"]`):  `operator.toml:4: configuration.services[3]: found "a" twice, wanted each name once`,
		section("services", `["a", ""]`):        `configuration.services[2]: found "", wanted 1 to 64 printable bytes`,
		section("name", `"n 1"`):                `operator.toml:5: configuration.name: found "n 1", wanted 1 to 64 printable bytes`,
		section("wait", ``) + "wait = \"1s\"\n": `configuration.wait: found a key that is not known`,
		"[configuration]\nname = \"n1\"\n":      `configuration.region: found ""`,
	} {
		if _, err := Load(write(t, text)); err == nil || !strings.Contains(err.Error(), wanted) {
			t.Errorf("%.200q: found %v, wanted %s", text, err, wanted)
		}
	}
}

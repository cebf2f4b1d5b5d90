package setting

import (
	"net"

	"hyssopjunction/set"
)

// checkDistinct reports listening addresses, by their keys, that are used twice. Empty addresses are
// ignored, and so are addresses with port 0, for which the operating system chooses a free port.
func checkDistinct(reader *reader, addresses map[string]string) {
	keysByAddress := make(map[string]string)
	for _, key := range set.SortedKeys(addresses) {
		address := addresses[key]
		if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
			continue
		}
		if otherKey, used := keysByAddress[address]; used {
			reader.require(false, []string{key, otherKey}, "%s is also the address of %s", address, otherKey)
			continue
		}
		keysByAddress[address] = key
	}
}

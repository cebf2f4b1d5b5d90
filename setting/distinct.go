package setting

import (
	"net"

	"hyssopjunction/set"
)

// checkDistinct reports listening addresses that are used twice. Empty addresses and port 0, which
// lets the system choose, are never the same.
func checkDistinct(reader *reader, addresses map[string]string) {
	users := make(map[string]string)
	for _, key := range set.SortedKeys(addresses) {
		address := addresses[key]
		if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
			continue
		}
		if user, taken := users[address]; taken {
			reader.require(false, []string{key, user}, "%s is also the address of %s", address, user)
			continue
		}
		users[address] = key
	}
}

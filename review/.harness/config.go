package main

import (
	"fmt"
	"strings"
)

// host returns the host of the routes to a service.
func host(service string) string { return service + ".example" }

// configuration returns a configuration with two safe and two unsafe routes to each service.
func configuration(services ...string) []byte {
	var routes, rows []string
	for _, s := range services {
		add := func(name, kind string, timeout, aim, priority, attempts int) {
			routes = append(routes, fmt.Sprintf(`["%s-%s",%q,"/%s/",%q,%d,%d,%d,%q,%d,null]`, s, name, host(s), name, kind, timeout, aim, priority, s, attempts))
		}
		add("lookup", "safe", 1200, 500, 2, 2)
		add("release", "unsafe", 1500, 500, 1, 2)
		add("long", "unsafe", 3000, 1000, 3, 2)
		rows = append(rows, fmt.Sprintf(`[%q,"/health",260,"h1",false]`, s))
	}
	return fmt.Appendf(nil, `{"version":"r7","routes":{"columns":["name","host","path-prefix","kind","timeout-ms","target-latency-ms","priority","service","max-attempts","traffic-split"],"rows":[%s]},
"services":{"columns":["name","health-path","max-connections","protocol","tls"],"rows":[%s]},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		strings.Join(routes, ","), strings.Join(rows, ","))
}

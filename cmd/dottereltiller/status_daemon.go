package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/daemon"
)

// printServices prints the evacuated zones, and a table with the policy, the groups and the upstreams
// of each service, as known to the daemon.
func printServices(s daemon.Status) error {
	if len(s.EvacuatedZones) > 0 {
		fmt.Printf("\nevacuated zones: %s\n", joinZones(s.EvacuatedZones))
	}
	if len(s.Services) == 0 {
		return nil
	}
	fmt.Printf("\nservices as known to %s in %s:\n", s.Daemon, s.Zone)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tpolicy\tgroups by weight\tupstreams\tleaving")
	for _, svc := range s.Services {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n",
			svc.Name, svc.Policy, formatGroups(svc), upstreamsByZone(svc), drainingUpstreams(svc))
	}
	return t.Flush()
}

// joinZones returns the names of zones, separated by spaces.
func joinZones(zones []model.AvailabilityZone) string {
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = string(z)
	}
	return strings.Join(names, " ")
}

// formatGroups returns the groups of a service with their weights, such as "a:3 b:1".
func formatGroups(svc daemon.ServiceStatus) string {
	var out []string
	for _, g := range svc.Groups {
		out = append(out, fmt.Sprintf("%s:%g", g.Name, g.Weight))
	}
	return strings.Join(out, " ")
}

// upstreamsByZone returns the number of upstreams of a service in each zone, such as "z1:2 z2:3".
func upstreamsByZone(svc daemon.ServiceStatus) string {
	counts := make(map[string]int)
	for _, up := range svc.Upstreams {
		counts[string(up.Zone)]++
	}
	out := make([]string, 0, len(counts))
	for zone, n := range counts {
		out = append(out, fmt.Sprintf("%s:%d", zone, n))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// drainingUpstreams returns the ids of the upstreams of a service that are draining.
func drainingUpstreams(svc daemon.ServiceStatus) string {
	var out []string
	for _, up := range svc.Upstreams {
		if up.Draining {
			out = append(out, string(up.ID))
		}
	}
	return strings.Join(out, " ")
}

package config

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"baobabfield.example/core/types"
)

// Bounds on the values of objects.
const (
	maxSlots        = 10000
	maxConnections  = 10000
	maxDatabases    = 1000
	maxEndpoints    = 9
	minRankTarget   = time.Millisecond
	maxRankTarget   = time.Hour
	maxRankWorth    = 1000
	maxRankOrder    = 100
	maxFloorPercent = 100
	maxPort         = 65535
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62})$`)

// checkName returns an error if the name does not match namePattern.
func checkName(kind, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return fmt.Errorf("%s name %q is not 1 to 63 characters of a-z, 0-9, \".\", \"_\" and \"-\" that start with a letter or digit", kind, name)
}

// checkRange returns an error if the value is outside its bounds.
func checkRange(kind, name, field string, value, lowest, highest int) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return fmt.Errorf("%s of %s %q is %d, not between %d and %d", field, kind, name, value, lowest, highest)
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// CheckService returns an error that names the first invalid value of a service.
func CheckService(s types.ServiceSpec) error {
	name := string(s.Name)
	err := firstError(
		checkName("service", name),
		checkDurability(s),
		checkRange("service", name, "slots", s.Slots, 1, maxSlots),
		checkRange("service", name, "connections", s.Connections, 1, maxConnections),
		checkRange("service", name, "number of databases", len(s.Databases), 1, maxDatabases),
	)
	if err != nil {
		return err
	}
	if s.Slots > s.Connections {
		return fmt.Errorf("slots of service %q are %d, more than its %d connections", name, s.Slots, s.Connections)
	}
	return checkDatabases(s)
}

func checkDurability(s types.ServiceSpec) error {
	switch s.Durability {
	case types.DurabilityReplicated, types.DurabilityPrimary:
		return nil
	}
	return fmt.Errorf("promise of service %q is %q, not %q or %q",
		s.Name, s.Durability, types.DurabilityReplicated, types.DurabilityPrimary)
}

func checkDatabases(s types.ServiceSpec) error {
	databases := map[types.Database]bool{}
	endpoints := map[types.Endpoint]bool{}
	for _, db := range s.Databases {
		if databases[db.ID] {
			return fmt.Errorf("service %q names database %q twice", s.Name, db.ID)
		}
		databases[db.ID] = true
		err := firstError(
			checkName("database", string(db.ID)),
			checkRange("database", string(db.ID), "number of endpoints", len(db.Endpoints), 1, maxEndpoints),
		)
		if err != nil {
			return err
		}
		for _, e := range db.Endpoints {
			if endpoints[e.ID] {
				return fmt.Errorf("service %q names endpoint %q twice", s.Name, e.ID)
			}
			endpoints[e.ID] = true
			if err := checkEndpoint(e); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkEndpoint(e types.EndpointSpec) error {
	err := firstError(
		checkName("endpoint", string(e.ID)),
		checkName("data centre", string(e.DataCentre)),
	)
	if err != nil {
		return err
	}
	i := strings.LastIndexByte(e.Address, ':')
	if i <= 0 {
		return fmt.Errorf("address %q of endpoint %q is not host:port", e.Address, e.ID)
	}
	port, err := strconv.Atoi(e.Address[i+1:])
	if err != nil || port < 1 || port > maxPort {
		return fmt.Errorf("port %q of endpoint %q is not between 1 and %d", e.Address[i+1:], e.ID, maxPort)
	}
	return nil
}

// CheckRank returns an error that names the first invalid value of a rank.
func CheckRank(r types.RankSpec) error {
	name := string(r.Name)
	if r.Target < minRankTarget || r.Target > maxRankTarget {
		return fmt.Errorf("target of rank %q is %v, not between %v and %v", name, r.Target, minRankTarget, maxRankTarget)
	}
	return firstError(
		checkName("rank", name),
		checkRange("rank", name, "worth", r.Worth, 1, maxRankWorth),
		checkRange("rank", name, "floor", r.Floor, 0, maxFloorPercent),
		checkRange("rank", name, "order", r.Order, 0, maxRankOrder),
	)
}

// CheckRetirement returns an error that names the first invalid value of a
// retirement.
func CheckRetirement(r Retirement) error {
	if err := checkName("retirement", r.Name); err != nil {
		return err
	}
	switch r.Kind {
	case TargetFeature, TargetJob:
	case TargetEndpoint:
		if r.Service == "" {
			return fmt.Errorf("retirement %q of endpoint %q names no service", r.Name, r.Target)
		}
	default:
		return fmt.Errorf("target kind of retirement %q is %q, not %q, %q or %q",
			r.Name, r.Kind, TargetFeature, TargetJob, TargetEndpoint)
	}
	if r.Target == "" {
		return fmt.Errorf("retirement %q names no %s", r.Name, r.Kind)
	}
	if r.Phase.ordinal() < 0 {
		return fmt.Errorf("phase of retirement %q is %q, not %q, %q or %q",
			r.Name, r.Phase, PhaseAnnounced, PhaseDraining, PhaseRetired)
	}
	return nil
}

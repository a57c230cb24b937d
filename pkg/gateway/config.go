package gateway

import (
	"balsamhill/pkg/control"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/settings"
)

const (
	// domainPenalty is the round trip between failure domains in nanoseconds.
	domainPenalty = 1e6
	// regionPenalty is the round trip between regions in nanoseconds.
	regionPenalty = 60e6
)

func controlConfig(s *settings.Settings) control.Config {
	config := control.Config{
		GatewayID:     s.VM.ID,
		Region:        s.VM.Region,
		FailureDomain: s.VM.FailureDomain,
		DomainLatency: domainPenalty,
		RegionLatency: regionPenalty,
	}
	for _, service := range s.Services {
		config.Services = append(config.Services, control.ServiceConfig{Name: service.Name, Slots: service.Slots})
	}
	return config
}

func addFixedServers(state *control.State, s *settings.Settings) {
	for _, service := range s.Services {
		for _, server := range service.Servers {
			state.AddFixedServer(service.Name, platform.VM{
				ID:            server.ID,
				Role:          platform.RoleServer,
				Service:       service.Name,
				Region:        server.Region,
				FailureDomain: server.FailureDomain,
				Address:       server.Address,
				State:         platform.VMLive,
			})
		}
	}
}

func routeTable(s *settings.Settings) *routing.RouteTable {
	var routes []routing.Route
	for _, service := range s.Services {
		for _, route := range service.Routes {
			routes = append(routes, routing.Route{
				Host:       route.Host,
				PathPrefix: route.PathPrefix,
				Methods:    route.Methods,
				Service:    service.Name,
				Class:      route.Class,
			})
		}
	}
	return routing.NewRouteTable(routes)
}

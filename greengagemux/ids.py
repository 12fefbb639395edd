"""Identifier types shared by all modules."""

from typing import NewType

DaemonId = NewType('DaemonId', str)
DataCentre = NewType('DataCentre', str)
Region = NewType('Region', str)
ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
UpstreamId = NewType('UpstreamId', str)
CallerName = NewType('CallerName', str)

#: Milliseconds since the epoch at which a daemon process started.
Incarnation = NewType('Incarnation', int)
#: One request, unique within one incarnation of its ingress daemon.
RequestId = NewType('RequestId', int)
#: One HTTP exchange with a caller, unique within a process.
ExchangeId = NewType('ExchangeId', int)
#: One HTTP call to an upstream, unique within a process.
CallId = NewType('CallId', int)
#: One connection between daemons, unique within a process.
StreamId = NewType('StreamId', int)
#: Offset of a record in a stream of the log.
LogOffset = NewType('LogOffset', int)
#: One announcement of an upstream, unique within a process.
AnnouncementId = NewType('AnnouncementId', int)
#: Place of a record among the departures beside one daemon.
SlotNumber = NewType('SlotNumber', int)
BundleVersion = NewType('BundleVersion', int)

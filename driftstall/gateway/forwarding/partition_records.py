"""Collect which instances can't reach which services, from reports and summaries."""

from __future__ import annotations

from collections.abc import Iterable

from driftstall.peers.gateway_messages import GatewayReport, PartitionRecord


def records_of(reports: Iterable[GatewayReport]) -> tuple[PartitionRecord, ...]:
    """Return a record for each instance that reports services as unreachable."""
    return tuple(
        PartitionRecord(report.sender, report.unreachable_services)
        for report in reports
        if report.unreachable_services
    )


def instances_without(records: Iterable[PartitionRecord], service: str) -> set[str]:
    """Return the instances that can't reach a service."""
    return {record.instance_id for record in records if service in record.services}

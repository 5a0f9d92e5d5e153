"""Manifests and heartbeats in the platform's format, for tests."""

import json
import random

from papayatack.core.inventory import Place

__all__ = ["PLACES", "build_heartbeat", "build_large_manifest", "build_manifest"]

PLACES = (Place(name="east", region="r"), Place(name="west", region="r"))

HOSTS = ("ficu95", "deny57", "puma33")


def build_manifest(*, version="0000000c", **changes):
    """Return an encoded manifest; ``changes`` replace top-level fields."""
    document = {
        "Version": version,
        "Routes": {
            "orders": {
                "Host": "Shop.example",
                "PathPrefix": "/orders/",
                "RouteKind": "non_idempotent",
                "Timeout": "1000ms",
                "TargetLatency": "400ms",
                "Priority": 1,
                "Service": "desk",
                "MaxAttempts": 2,
            },
            "pages": {
                "Host": "shop.example",
                "PathPrefix": "/",
                "RouteKind": "idempotent",
                "Timeout": "1.5s",
                "TargetLatency": "300ms",
                "Priority": 2,
                "TrafficSplit": [
                    {"Service": "desk", "Weight": 90},
                    {"Service": "papers", "Weight": 10},
                ],
                "MaxAttempts": 3,
            },
        },
        "Services": {
            "desk": {
                "HealthPath": "/health",
                "MaxConnections": 130,
                "Sharded": True,
                "Warmup": "3s",
            },
            "papers": {"HealthPath": "/healthy", "MaxConnections": 20},
        },
        "Limits": {
            "MaxHeaderBytes": 8192,
            "MaxBodyBytes": 1000,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }
    return json.dumps({**document, **changes}).encode()


def build_large_manifest(*, version, routes):
    """Return an encoded manifest with a number of random routes."""
    rng = random.Random(1)
    return build_manifest(
        version=version,
        Routes={
            f"r-{rng.getrandbits(32):08x}": {
                "Host": f"{rng.choice(HOSTS)}.example",
                "PathPrefix": f"/{rng.getrandbits(32):08x}/",
                "RouteKind": "idempotent",
                "Timeout": "3000ms",
                "TargetLatency": "1611ms",
                "Priority": 2,
                "Service": "papers",
                "MaxAttempts": 2,
            }
            for _ in range(routes)
        },
        Services={"papers": {"HealthPath": "/healthy", "MaxConnections": 20}},
    )


def build_heartbeat(
    *, state="ready", seq=1, address="127.0.0.1:8080", slots=13, born=None
):
    """Return the document of a heartbeat."""
    document = {
        "Address": address,
        "Info": {
            "Service": "desk",
            "Version": "v1",
            "Zone": "east",
            "CapacitySlots": slots,
        },
        "Status": {"State": state, "Seq": seq, "ColdRemaining": "0ms"},
    }
    return document if born is None else {**document, "born": born}

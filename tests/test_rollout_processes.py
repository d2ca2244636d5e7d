"""A trainer pulls samples through daemon processes that fail.

Responses are truncated, the key-value service refuses connections, a
daemon is killed and a link is slow; after a crash the trainer must
resume from its file, whose last line may be incomplete.
"""

import pytest

from poplarloft import client as rollouts
from poplarloft import coordination
from poplarloft import state
from standins import platform
from standins import proxy
from standins import trainer
from tests import processes
from tests import test_daemon_process as helpers

pytestmark = pytest.mark.alone

GROUPS, PER_GROUP, STEPS, BOUND = 4, 4, 4, 2


def lot():
    body = state.LotBody(
        "pool",
        "ranker",
        "scorer",
        ("Rank the experts of this brief. " * 8,),
        GROUPS,
        PER_GROUP,
        STEPS,
        BOUND,
        max_tokens=128,
    )
    return state.Document(
        state.DocumentKind.LOT, platform.OWNERS[0], "ranker", body
    )


async def test_each_sample_arrives_once_fresh_and_correctly_labelled(
    cluster, client, tmp_path
):
    for number in range(3):
        cluster.start_upstream("engine", f"engine-{number}", "pool")
    cluster.start_upstream("scorer", "scorer-0", "scorer")
    await cluster.put_in_force(client, lot())
    platform_link = cluster.start_proxy(cluster.key_value.address)
    daemons = [
        cluster.start_daemon(f"entry-{n}", key_value=platform_link.address)
        for n in range(2)
    ]
    links = [cluster.start_proxy(d.address) for d in daemons]
    for daemon in daemons:
        await processes.wait_for_status(client, daemon.address, "/readyz")
    collector = coordination.StepCollector(
        "ranker", "trainer#1", GROUPS, PER_GROUP, BOUND
    )
    rollout_client = rollouts.RolloutClient(
        [link.address for link in links],
        helpers.TOKEN,
        collector,
        rollouts.HoldingsFile(tmp_path / "holdings"),
    )
    job = trainer.Trainer(rollout_client, BOUND, train_ms=100)
    await job.run(1, 30_000)
    await helpers.set_faults(
        client, platform_link.addresses[1], proxy.LinkFaults(refuse=True)
    )
    await helpers.set_faults(
        client, links[0].addresses[1], proxy.LinkFaults(cut_after_bytes=2_000)
    )
    await job.run(1, 30_000)
    daemons[0].kill()
    await job.run(1, 30_000)
    await helpers.set_faults(
        client, links[1].addresses[1], proxy.LinkFaults(delay_ms=20)
    )
    await job.run(1, 30_000)
    rollout_client.close()
    record = job.record
    assert record.delivered == GROUPS * PER_GROUP * STEPS
    assert record.duplicate == record.mislabelled == record.stale == 0


async def test_restarted_trainer_resumes_from_its_file(tmp_path):
    file = rollouts.HoldingsFile(tmp_path / "holdings")

    def start():
        collector = coordination.StepCollector("l", "t#1", 1, 2, 1)
        return rollouts.RolloutClient([], "token", collector, file)

    first = start()
    samples = tuple(
        state.Sample(
            state.Slot("l", 0, 0, index),
            (1,),
            (state.Span(0, 0, 0),),
            0.5,
            "e#1",
        )
        for index in range(2)
    )
    file.append("l", 0, first.collector.on_samples(samples[:1]))
    with file.path.open("ab") as torn:
        torn.write(b'{"lot":"l","step":0,"samp')
    second = start()
    assert set(second.collector.held) == {(0, 0)}
    assert second.collector.on_samples(samples) == [samples[1]]
    second.finish_step(1)
    third = start()
    assert (third.collector.step, third.collector.held) == (1, {})

"""`poplarloft explain` merges the logs of several daemons by time."""

import json

from cleo import application
from cleo.testers import command_tester

from poplarloft.cli import explain_command


def line(time_s, instance, kind, **fields):
    return json.dumps(
        {
            "timestamp": time_s,
            "instance": instance,
            "message_type": kind,
            "task_uuid": "u",
            "task_level": [1],
            **fields,
        }
    )


LOGS = {
    "a.log": [
        line(3.0, "a", "item-run", item="i1", lot="l", outcome="cut: reset"),
        "not a line of the log",
        line(1.0, "a", "lot-opened", request="l"),
    ],
    "b.log": [
        "  2.5 b " + line(4.0, "b", "item-run", item="i1", outcome="whole"),
        line(5.0, "b", "reward", item="i1", request="r1", detail=""),
        line(6.0, "b", "results-listed", request="l", outcome="applied"),
        line(5.5, "b", "item-run", item="i2", outcome="whole"),
    ],
}


def explain(tmp_path, arguments):
    for name, lines in LOGS.items():
        (tmp_path / name).write_text("\n".join(lines))
    tool = application.Application()
    tool.add(explain_command.Explain())
    tester = command_tester.CommandTester(tool.find("explain"))
    files = " ".join(str(tmp_path / name) for name in LOGS)
    status = tester.execute(f"{arguments} {files}")
    return status, tester.io.fetch_output().splitlines()


def test_item_events_are_in_order_with_first_failure_marked(tmp_path):
    status, rows = explain(tmp_path, "i1")
    assert status == 0
    assert [row.split()[-1].partition("=")[0] for row in rows]
    assert [row[0] for row in rows] == [">", " ", " "]
    assert "outcome=cut: reset" in rows[0]
    assert "reward" in rows[2]


def test_json_output_lists_the_same_events(tmp_path):
    _, rows = explain(tmp_path, "--json i1")
    events = [json.loads(row) for row in rows]
    assert [event["time_s"] for event in events] == [3.0, 4.0, 5.0]
    assert [event["first_wrong"] for event in events] == [True, False, False]


def test_unknown_identifier_is_an_error(tmp_path):
    status, _ = explain(tmp_path, "nothing")
    assert status == 1


def test_a_permit_that_was_granted_or_not_needed_is_no_failure(tmp_path):
    permits = [
        line(n, "a", "permit", request="r9", upstream="u", outcome=outcome)
        for n, outcome in enumerate(("passed-over", "granted", "denied"))
    ]
    LOGS["c.log"] = permits
    _, rows = explain(tmp_path, "r9")
    del LOGS["c.log"]
    assert [row[0] for row in rows] == [" ", " ", ">"]

"""Each mutant still applies to the source."""

import pytest

from benchmarks import mutants


@pytest.mark.parametrize("fault", mutants.ALL, ids=lambda f: f.name)
def test_code_to_change_is_there(fault):
    source = (mutants.ROOT / fault.module).read_text()
    assert fault.old in source
    assert fault.old != fault.new
    assert (mutants.ROOT / fault.tests).exists()

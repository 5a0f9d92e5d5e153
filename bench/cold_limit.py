"""Print what the limit for cold upstreams costs: time for each request, and questions.

Run ``python -m bench.cold_limit``.
"""

import time

from papayatack.core.admission.cold_limit import ColdBounds, ColdLimit

BOUNDS = ColdBounds(requests_per_s=6.0, start_s=6.0, overrun=1.5, slack=8.0)
RATES = (5.0, 15.0, 30.0, 100.0)
LENGTH_S = 1_000.0
ANSWER_S = 0.005


def run(rate: float, bounds: ColdBounds | None) -> tuple[float, float]:
    """Send requests at a steady rate to a warm upstream.

    Returns:
        Microseconds of processor time for each request, and questions per second.
    """
    limit = ColdLimit(now=0.0)
    limit.configure(0.0, bounds)
    count = int(rate * LENGTH_S)
    questions = 0
    asked_s = answer_s = 0.0
    started_s = time.process_time()
    for number in range(count):
        now = 10.0 + number / rate
        if asked_s and now >= answer_s:
            limit.record_answer(now, asked_s=asked_s, remaining_s=0.0)
            asked_s = 0.0
        if limit.allows(now):
            limit.reserve()
            limit.record_sent(now)
        if limit.wants_question(now):
            questions += 1
            asked_s, answer_s = now, now + ANSWER_S
            limit.record_question(now)
    spent_s = time.process_time() - started_s
    return spent_s / count * 1e6, questions / LENGTH_S


def main() -> None:
    """Print one row for each rate."""
    print("requests/s, us/request without bounds, with bounds, questions/s")
    for rate in RATES:
        unlimited_us, _ = run(rate, None)
        limited_us, questions = run(rate, BOUNDS)
        print(f"{rate:g}, {unlimited_us:.2f}, {limited_us:.2f}, {questions:.2f}")


if __name__ == "__main__":
    main()

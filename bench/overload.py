"""Measure the traffic decisions under overload and faults."""

from .overload_runs import *
import time


def main():
    pol = [
        Policy("random", "random"),
        Policy("round_robin", "round_robin"),
        Policy("rr+2", "round_robin", 2),
        Policy("fixed", "decisions", limiter=LimiterKind.FIXED),
        Policy("aimd", "decisions", limiter=LimiterKind.AIMD),
        Policy("gradient", "decisions", limiter=LimiterKind.GRADIENT),
        Policy(
            "grad fifo",
            "decisions",
            limiter=LimiterKind.GRADIENT,
            discipline=Discipline.FIFO,
        ),
        Policy(
            "aimd lifo",
            "decisions",
            limiter=LimiterKind.AIMD,
            discipline=Discipline.ADAPTIVE_LIFO,
        ),
        Policy(
            "grad lifo",
            "decisions",
            limiter=LimiterKind.GRADIENT,
            discipline=Discipline.ADAPTIVE_LIFO,
        ),
    ]
    sc = [Scenario(f"x{l}", l) for l in (0.5, 1, 2, 4)] + [
        Scenario("slow", 0.6, slowness=10),
        Scenario("err", 0.6, error_ratio=1.0),
    ]
    for s in sc:
        for p in pol:
            t = time.time()
            f = run(s, p)
            print(
                f"{s.name:6} {p.name:12} good {f.good_ratio:.3f} cap {f.capacity_ratio:.3f} p50 {f.p50_ms:6.1f} p99 {f.p99_ms:6.1f} refp99 {f.refusal_p99_ms:6.1f} late {f.late_ratio:.3f} err {f.error_ratio:.4f} ref {f.refused_ratio:.3f} att {f.attempts_ratio:.2f} { ({k: round(v, 2) for k, v in f.good_by_class.items()}) } {time.time() - t:.1f}s",
                flush=True,
            )


main()

package gorserill.routing;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.LoadSources;
import barrowflow.Dispatcher.Objective;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Random deployments within the limits that the platform specifies. */
final class Deployments {
    private Deployments() {}

    static Settings draw(SplittableRandom random) {
        List<JobClass> classes = new ArrayList<>();
        for (int count = 1 + random.nextInt(4); classes.size() < count; ) {
            Effect effect = Effect.values()[random.nextInt(3)];
            long deadline = 400_000 + random.nextLong(2_000_000);
            classes.add(new JobClass(
                    20_000 + random.nextLong(500_000),
                    random.nextInt(4),
                    deadline,
                    1 + random.nextInt(5),
                    random.nextInt(3) / 4.0,
                    effect,
                    Group.values()[random.nextInt(3)],
                    effect == Effect.KEYED ? 50_000 + random.nextLong(2_000_000) : 0,
                    -1));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int count = random.nextInt(4) * random.nextInt(3); tenants.size() < count; ) {
            tenants.add(new Tenant(random.nextInt(20)));
        }
        return new Settings(
                1 + random.nextInt(6),
                random.nextInt(2),
                classes,
                tenants,
                random.nextInt(21) / 20.0,
                new Cold(
                        0.1 + random.nextDouble() / 2,
                        random.nextLong(10_000_000),
                        2 + random.nextDouble() * 2,
                        500_000 + random.nextLong(3_000_000)),
                1 + random.nextInt(6),
                random.nextInt(4) > 0,
                random.nextInt(3) * 900_000L,
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextInt(3) / 20.0,
                random.nextBoolean(),
                new Objective(random.nextInt(11) / 10.0, random.nextInt(11) / 10.0, random.nextBoolean()),
                new LoadSources(
                        random.nextBoolean(),
                        random.nextInt(3) / 100.0,
                        random.nextBoolean(),
                        random.nextInt(3) / 100.0,
                        random.nextBoolean()));
    }
}

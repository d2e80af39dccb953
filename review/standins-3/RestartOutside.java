import java.io.IOException;
import java.util.List;

/** A region with 5 of 8 daemons is cut off for 27 s, and 8 s later one daemon outside is stopped and started again. */
final class RestartOutside {

    private static final long CUT_MILLIS = 27_000;

    private RestartOutside() {}

    public static void main(String[] arguments) throws IOException {
        List<String> daemons = List.of(
                "edge-yorkton-kiln-1",
                "edge-yorkton-kiln-2",
                "edge-yorkton-kiln-3",
                "edge-melville-annex-1",
                "edge-melville-annex-2",
                "edge-brandon-depot-1",
                "edge-brandon-depot-2",
                "edge-edmonton-wh-1");
        new SplitRegion(daemons, List.of(), List.of("edge-edmonton-wh-1"), CUT_MILLIS).run(arguments);
    }
}

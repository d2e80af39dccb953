import java.io.IOException;
import java.util.List;

/** A region with 5 of 8 daemons is cut off for 50 s. */
final class RegionCutOff {

    private static final long CUT_MILLIS = 50_000;

    private RegionCutOff() {}

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
        new SplitRegion(daemons, List.of(), List.of(), CUT_MILLIS).run(arguments);
    }
}

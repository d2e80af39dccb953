package org.banyanhook.daemon.settings;

import java.io.Serializable;

/**
 * An invalid value in a settings file.
 *
 * @param file the path of the file
 * @param line the line of the value, counted from 1; 0 if the error concerns the whole file
 * @param path the JSON Pointer of the value, as in {@code /callers/address}; empty for the whole file
 * @param value the value, or {@code missing} if there is none
 * @param problem why the value is invalid
 * @param remedy what to write instead
 */
public record SettingsError(String file, int line, String path, String value, String problem, String remedy)
        implements Serializable {

    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        String subject = path.isEmpty() ? "" : " " + path + " is " + value + ":";
        return place + ":" + subject + " " + problem + "; " + remedy;
    }
}

/* Starts Python from libraries and an archive that are appended to this file.
 *
 * The file ends with the table that build.py writes as the comment of the zip
 * archive: an offset and a size for each library, in the order of loading and the
 * interpreter last, then the number of entries. Each library is copied to an
 * anonymous memory file, so nothing is written to a disk and no process is started.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/sendfile.h>
#include <sys/stat.h>
#include <unistd.h>

#define LIBRARIES_MAXIMUM 64
#define PATH_MAXIMUM 4096
#define FAILED 1

struct entry {
    uint64_t offset;
    uint64_t size_bytes;
};

static void fail(const char *what) {
    fprintf(stderr, "azurestep: %s. The file is damaged; copy it again.\n", what);
    exit(FAILED);
}

static void read_at(int file, void *target, size_t size, off_t offset) {
    if (pread(file, target, size, offset) != (ssize_t)size)
        fail("the table of libraries can't be read");
}

static uint32_t read_table(int file, struct entry *table) {
    struct stat about;
    uint32_t count;
    if (fstat(file, &about) != 0)
        fail("the file can't be read");
    read_at(file, &count, sizeof count, about.st_size - sizeof count);
    if (count == 0 || count > LIBRARIES_MAXIMUM)
        fail("the table of libraries is malformed");
    size_t size = count * sizeof *table;
    read_at(file, table, size, about.st_size - sizeof count - size);
    return count;
}

/* Opens the null device in place of closed standard descriptors. A memory file would
 * get such a number, and the program's output would be written to a library. */
static void occupy_standard_descriptors(void) {
    int opened;
    do {
        opened = open("/dev/null", O_RDWR);
        if (opened < 0)
            fail("the null device can't be opened");
    } while (opened <= STDERR_FILENO);
    close(opened);
}

/* The descriptor stays open: the loader knows a library by this path. */
static void *load(int file, const struct entry *entry) {
    int memory = memfd_create("azurestep-library", MFD_CLOEXEC);
    if (memory < 0)
        fail("no memory file can be made");
    off_t offset = entry->offset;
    uint64_t left = entry->size_bytes;
    while (left > 0) {
        ssize_t copied = sendfile(memory, file, &offset, left);
        if (copied <= 0)
            fail("a library can't be copied");
        left -= copied;
    }
    char path[64];
    snprintf(path, sizeof path, "/proc/self/fd/%d", memory);
    void *library = dlopen(path, RTLD_NOW | RTLD_GLOBAL);
    if (library == NULL)
        fail(dlerror());
    return library;
}

static void *symbol(void *library, const char *name) {
    void *found = dlsym(library, name);
    if (found == NULL)
        fail(name);
    return found;
}

static int run(void *python, int argc, char **argv, const char *archive) {
    wchar_t *(*decode)(const char *, size_t *) = symbol(python, "Py_DecodeLocale");
    void (*set_path)(const wchar_t *) = symbol(python, "Py_SetPath");
    void (*set_name)(const wchar_t *) = symbol(python, "Py_SetProgramName");
    void (*initialize)(int) = symbol(python, "Py_InitializeEx");
    void (*set_argv)(int, wchar_t **, int) = symbol(python, "PySys_SetArgvEx");
    int (*run_text)(const char *, void *) = symbol(python, "PyRun_SimpleStringFlags");
    int (*finalize)(void) = symbol(python, "Py_FinalizeEx");
    *(int *)symbol(python, "Py_NoSiteFlag") = 1;
    *(int *)symbol(python, "Py_IgnoreEnvironmentFlag") = 1;
    *(int *)symbol(python, "Py_DontWriteBytecodeFlag") = 1;
    *(int *)symbol(python, "Py_UTF8Mode") = 1;
    wchar_t *path = decode(archive, NULL);
    set_name(path);
    set_path(path);
    initialize(0);
    wchar_t **words = calloc(argc + 1, sizeof *words);
    for (int index = 0; index < argc; index++)
        words[index] = decode(argv[index], NULL);
    set_argv(argc, words, 0);
    int status = run_text("import azurestep_boot; azurestep_boot.main()", NULL);
    finalize();
    return status == 0 ? 0 : FAILED;
}

int main(int argc, char **argv) {
    occupy_standard_descriptors();
    char archive[PATH_MAXIMUM];
    ssize_t length = readlink("/proc/self/exe", archive, sizeof archive - 1);
    if (length < 0)
        fail("the own path can't be read");
    archive[length] = '\0';
    int file = open(archive, O_RDONLY | O_CLOEXEC);
    if (file < 0)
        fail("the own file can't be opened");
    struct entry table[LIBRARIES_MAXIMUM];
    uint32_t count = read_table(file, table);
    void *python = NULL;
    for (uint32_t index = 0; index < count; index++)
        python = load(file, &table[index]);
    close(file);
    return run(python, argc, argv, archive);
}

/* Starts the interpreter from the zip archive that is appended to this program.
 *
 * Nothing is unpacked to disk and no other process is started: Python modules are read
 * from the archive through /proc/self/exe, which stays valid while the file is replaced
 * by an upgrade. Extension modules are loaded by bootstrap.py.
 */

#define PY_SSIZE_T_CLEAN
#include <Python.h>
#include <dlfcn.h>

static PyObject *
load_library(PyObject *self, PyObject *argument)
{
    const char *path = PyUnicode_AsUTF8(argument);

    if (path == NULL)
        return NULL;
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef launcher_methods[] = {
    {"load_library", load_library, METH_O, "Loads a shared library by its path."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef launcher_module = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, -1, launcher_methods,
};

static PyObject *
create_launcher_module(void)
{
    return PyModule_Create(&launcher_module);
}

int
main(int argc, char **argv)
{
    PyConfig config;
    PyStatus status;
    int result;

    PyImport_AppendInittab("_launcher", create_launcher_module);
    PyConfig_InitIsolatedConfig(&config);
    config.site_import = 0;
    config.write_bytecode = 0;
    config.parse_argv = 0;
    config.install_signal_handlers = 1;
    status = PyConfig_SetBytesArgv(&config, argc, argv);
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.prefix, L"/proc/self/exe");
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.exec_prefix, L"/proc/self/exe");
    if (!PyStatus_Exception(status))
        status = PyWideStringList_Append(&config.module_search_paths, L"/proc/self/exe");
    config.module_search_paths_set = 1;
    if (!PyStatus_Exception(status))
        status = Py_InitializeFromConfig(&config);
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    result = PyRun_SimpleString("import bootstrap\nbootstrap.main()\n");
    return Py_FinalizeEx() < 0 ? 120 : (result == 0 ? 0 : 1);
}

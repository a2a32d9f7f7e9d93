declare module 'logfmt' {
  const logfmt: { stringify: (data: Record<string, unknown>) => string };
  export default logfmt;
}
